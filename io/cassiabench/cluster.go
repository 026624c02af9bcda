package cassiabench

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiaserver"
	"cassiasaddle/io/cassiatarget"
	"cassiasaddle/io/cassiatls"
	"cassiasaddle/io/cassiatree"
	"cassiasaddle/standin/cassiarelay"
)

// Access tokens of the example settings. A team's token is its name followed by teamTokenSuffix.
const (
	adminToken      = "admin-token"
	teamTokenSuffix = "-token"
)

// certificateLifetime is longer than any run.
const certificateLifetime = time.Hour

// cluster runs the VMs of a run, all in this process.
type cluster struct {
	vms            []*cassiaschema.VmConfig
	certificateDir string
	cancels        map[string]context.CancelFunc
	revisions      map[cassiasettings.Subtree]cassiaid.Revision
}

// newCluster issues certificates and a cluster key for the VMs in a temporary directory, and starts no VM.
func newCluster(vms []*cassiaschema.VmConfig) (*cluster, error) {
	directory, err := os.MkdirTemp("", "cassiasaddle-bench-")
	if err != nil {
		return nil, eris.Wrap(err, "creating a directory for certificates failed; make the temporary directory writable")
	}
	c := &cluster{
		vms: vms, certificateDir: directory,
		cancels: map[string]context.CancelFunc{}, revisions: map[cassiasettings.Subtree]cassiaid.Revision{},
	}
	keys := cassiatls.Directory(directory)
	var names []cassiaid.VMName
	for _, vm := range vms {
		name := cassiaid.VMName(vm.GetName())
		names = append(names, name)
		vm.Tls, vm.ClusterKeyFile = keys.Files(name), keys.ClusterKeyFile()
	}
	if err := keys.Issue(time.Now(), certificateLifetime, names...); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// Close deletes the certificates and the cluster key.
func (c *cluster) Close() error { return os.RemoveAll(c.certificateDir) }

// start runs a VM in the group until the context ends or stop is called. faultsTo returns the faults of its datagrams
// by destination, dial opens its connections to targets.
func (c *cluster) start(ctx context.Context, group *errgroup.Group, vm *cassiaschema.VmConfig,
	faultsTo func(net.Addr) cassiarelay.Faults, dial cassiatarget.Dial, seed uint64) {
	ctx, stop := context.WithCancel(ctx)
	c.cancels[vm.GetName()] = stop
	wrapper := cassiaserver.WithPacketConn(func(conn net.PacketConn) net.PacketConn {
		return cassiarelay.WrapPacketConn(conn, faultsTo, seed)
	})
	group.Go(func() error {
		defer stop()
		return eris.Wrapf(cassiaserver.Run(ctx, vm, wrapper, cassiaserver.WithTargetDial(dial)), "VM %s", vm.GetName())
	})
}

// stop starts the orderly shutdown of a VM and returns at once.
func (c *cluster) stop(vm *cassiaschema.VmConfig) { c.cancels[vm.GetName()]() }

// apply applies a subtree's settings through the first VM, and repeats the call until it succeeds or the context ends.
func (c *cluster) apply(ctx context.Context, subtree cassiasettings.Subtree, token string, yaml []byte) error {
	client := &cassiatree.OperatorClient{Address: c.vms[0].GetOperatorAddress(), Token: token}
	edit := cassiatree.EditRequest{
		YAML: string(yaml), BaseRevision: c.revisions[subtree],
		EditID: cassiasettings.EditID(uuid.NewString()), Author: "bench",
	}
	return retry(ctx, func() error {
		accepted, err := client.Apply(ctx, subtree, edit)
		if err == nil {
			c.revisions[subtree] = accepted.Revision
		}
		return err
	})
}

// waitReady returns once every VM is ready, lists all VMs as members and has an owner for every slice, which is a part
// of a front's targets in one availability zone.
func (c *cluster) waitReady(ctx context.Context) error {
	for _, vm := range c.vms {
		if err := retry(ctx, func() error { return c.checkReady(ctx, vm) }); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) checkReady(ctx context.Context, vm *cassiaschema.VmConfig) error {
	status, err := readStatus(ctx, vm)
	if err != nil {
		return err
	}
	owned := len(status.Owners) > 0
	for _, o := range status.Owners {
		owned = owned && len(o.Owners) > 0
	}
	if !status.Ready || len(status.Members) != len(c.vms) || !owned {
		return eris.Errorf("VM %s is not ready: ready %t, %d members, every slice owned %t",
			vm.GetName(), status.Ready, len(status.Members), owned)
	}
	return nil
}

// readStatus gets the status of a VM from its operator address.
func readStatus(ctx context.Context, vm *cassiaschema.VmConfig) (cassiaserver.Status, error) {
	var status cassiaserver.Status
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.GetOperatorAddress()+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}
