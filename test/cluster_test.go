package test

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

const (
	adminToken = "admin-token"
	teamToken  = "team-token"
	team       = "salon"
	// maxSettingsDelay is the specified time within which accepted settings are in force on every VM.
	maxSettingsDelay = 5 * time.Second
	callTimeout      = 10 * time.Second
	// hostsPerBlock is the number of host addresses used in each /24 block of loopback addresses.
	hostsPerBlock = 250
)

// layout describes the zones, VMs and fronts of a cluster.
type layout struct {
	zones      []string
	vmsPerZone int
	fronts     []*cassiaschema.Front
	// behaviour is a JSON object that is merged into the targets' default behaviour.
	behaviour string
	// logLevel is the log level of the VMs; debug if empty.
	logLevel string
	// relayed puts a relay in front of the peer and gossip addresses of each VM, and one per zone in front of the platform.
	relayed bool
}

// cluster is a platform stand-in, targets and VMs. The platform stand-in, all targets together and each VM are one
// process each.
type cluster struct {
	t             testing.TB
	layout        layout
	dir           string
	lastHost      int
	platform      string
	targetControl string
	// relayControl is the control address of the relay process. platformByZone is the address of the platform relay of each zone.
	relayControl   string
	platformByZone map[string]string
	processes      map[string]*process
	vms            []*vm
}

// vm is one VM of the cluster.
type vm struct {
	name, zone                                                 string
	callerAddress, operatorAddress, peerAddress, gossipAddress string
	// The advertised addresses are those of the relays if the cluster is relayed.
	advertisedPeerAddress, advertisedGossipAddress string
	config                                         string
	process                                        *process
}

// clusterCount counts the clusters of this test process, so that each uses its own loopback addresses.
var clusterCount int

// startCluster starts all processes, applies the settings through the command line and waits until all targets have owners.
func startCluster(t testing.TB, l layout) *cluster {
	t.Helper()
	clusterCount++
	c := &cluster{t: t, layout: l, dir: t.TempDir(), processes: map[string]*process{}}
	c.startStandins()
	for _, zone := range l.zones {
		for i := range l.vmsPerZone {
			c.addVM(fmt.Sprintf("vm-%s-%d", zone, i+1), zone)
		}
	}
	c.generateKeys()
	c.startRelays()
	for _, v := range c.vms {
		c.startVM(v)
	}
	c.apply("root", c.rootYAML(), adminToken)
	c.apply(team, c.teamYAML(l.fronts), teamToken)
	c.waitOwners()
	return c
}

// address returns a free address on the next loopback host of this cluster.
func (c *cluster) address() string {
	c.lastHost++
	block := clusterCount + c.lastHost/hostsPerBlock*100
	return freeAddress(c.t, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, block%250, c.lastHost%hostsPerBlock+1))
}

func (c *cluster) startStandins() {
	c.platform, c.targetControl = c.address(), c.address()
	for _, f := range c.layout.fronts {
		for _, s := range f.Shards {
			for _, r := range s.Targets {
				if r.Address == "" {
					r.Address = c.targetAddress(r.Name)
				}
			}
		}
	}
	file := c.writeFile("team.json.yaml", c.teamYAML(c.layout.fronts))
	c.processes["platform"] = start(c.t, "cassiastandin", "platform", "--listen", c.platform).waitReady(c.t)
	arguments := []string{"targets", "--settings", file, "--control", c.targetControl}
	if c.layout.behaviour != "" {
		arguments = append(arguments, "--behaviour", c.layout.behaviour)
	}
	c.processes["targets"] = start(c.t, "cassiastandin", arguments...).waitReady(c.t)
}

// targetAddress returns the address of a target. Fronts that list the same target share its address.
func (c *cluster) targetAddress(name string) string {
	for _, f := range c.layout.fronts {
		for _, s := range f.Shards {
			for _, r := range s.Targets {
				if r.Name == name && r.Address != "" {
					return r.Address
				}
			}
		}
	}
	return c.address()
}

func (c *cluster) addVM(name, zone string) *vm {
	// All addresses of a VM share an IP address, so that a relay can distinguish its datagrams from those of other VMs.
	host, _, _ := net.SplitHostPort(c.address())
	free := func() string { return freeAddress(c.t, host) }
	v := &vm{name: name, zone: zone, callerAddress: free(), operatorAddress: free(), peerAddress: free(), gossipAddress: free()}
	v.advertisedPeerAddress, v.advertisedGossipAddress = v.peerAddress, v.gossipAddress
	if c.layout.relayed {
		v.advertisedPeerAddress, v.advertisedGossipAddress = c.address(), c.address()
	}
	c.vms = append(c.vms, v)
	body := map[string]string{
		"name": name, "region": "region-1", "availabilityZone": zone,
		"peerAddress": v.advertisedPeerAddress, "gossipAddress": v.advertisedGossipAddress, "state": "live",
	}
	c.send(http.MethodPut, "http://"+c.platform+"/v1/vms/"+name, body)
	return v
}

func (c *cluster) generateKeys() {
	arguments := []string{"keys", "--directory", c.dir}
	for _, v := range c.vms {
		arguments = append(arguments, v.name)
	}
	status, output := runCommand(c.t, "cassiasaddle", arguments...)
	qt.Assert(c.t, status, qt.Equals, 0, qt.Commentf("%s", output))
}

// startVM starts a VM's process and waits until it is live. It doesn't wait until the VM is ready.
func (c *cluster) startVM(v *vm) {
	v.config = c.writeFile(v.name+".yaml", fmt.Sprintf(`name: %s
region: region-1
availabilityZone: %s
callerAddress: %s
operatorAddress: %s
peerAddress: %s
gossipAddress: %s
platformAddress: %s
adminTokenSha256: %s
clusterKeyFile: %s
tls:
  certificate: %s
  key: %s
  authority: %s
advertisedPeerAddress: %s
advertisedGossipAddress: %s
logLevel: %s
`, v.name, v.zone, v.callerAddress, v.operatorAddress, v.peerAddress, v.gossipAddress, c.platformAddressFor(v.zone), hash(adminToken),
		filepath.Join(c.dir, "cluster.key"), filepath.Join(c.dir, v.name+".pem"), filepath.Join(c.dir, v.name+"-key.pem"),
		filepath.Join(c.dir, "authority.pem"), v.advertisedPeerAddress, v.advertisedGossipAddress, cmp.Or(c.layout.logLevel, "debug")))
	v.process = start(c.t, "cassiasaddle", "serve", "--config", v.config)
	eventually(c.t, waitTimeout, v.name+" is live", func() bool {
		status, _ := c.tryGet("http://" + v.operatorAddress + "/livez")
		return status == http.StatusOK
	})
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (c *cluster) rootYAML() string {
	return fmt.Sprintf("teams:\n  - name: %s\n    tokenSha256: %s\n", team, hash(teamToken))
}

func (c *cluster) teamYAML(fronts []*cassiaschema.Front) string {
	text, err := protojson.Marshal(&cassiaschema.TeamSettings{Team: team, Fronts: fronts})
	qt.Assert(c.t, err, qt.IsNil)
	return string(text) // JSON is YAML.
}

func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	qt.Assert(c.t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// apply applies settings through the command line, which waits until they are in force on every VM.
func (c *cluster) apply(subtree, text, token string) {
	c.t.Helper()
	status, output := c.tryApply(subtree, text, token, c.revision(subtree))
	qt.Assert(c.t, status, qt.Equals, 0, qt.Commentf("%s", output))
}

func (c *cluster) tryApply(subtree, text, token string, base uint64) (int, string) {
	file := c.writeFile(subtree+".yaml", text)
	return runCommand(c.t, "cassiasaddle", "settings", "apply", "--address", c.vms[0].operatorAddress, "--token", token,
		"--subtree", subtree, "--base-revision", fmt.Sprint(base), "--wait", maxSettingsDelay.String(), file)
}

// revision returns the latest accepted revision of a subtree, or 0 if there is none or the VM doesn't return it.
func (c *cluster) revision(subtree string) uint64 {
	var edit struct{ Revision uint64 }
	request, err := http.NewRequest(http.MethodGet, "http://"+c.vms[0].operatorAddress+"/v1/settings/"+subtree, nil)
	qt.Assert(c.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+adminToken)
	if subtree == team {
		request.Header.Set("Authorization", "Bearer "+teamToken)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer reply.Body.Close()
	if json.NewDecoder(reply.Body).Decode(&edit) != nil {
		return 0
	}
	return edit.Revision
}

// status holds the fields of a VM's /v1/status reply that the tests check.
type status struct {
	Ready              bool
	SettingsGeneration uint64
	Members            []struct {
		Name, AvailabilityZone, State string
		SettingsGeneration            uint64
	}
	Owners []struct {
		Front, Zone string
		Owners      []string
	}
}

func (c *cluster) status(v *vm) status {
	var s status
	code, body := c.tryGet("http://" + v.operatorAddress + "/v1/status")
	if code == http.StatusOK {
		qt.Assert(c.t, json.Unmarshal(body, &s), qt.IsNil)
	}
	return s
}

// waitOwners waits until every VM is ready, lists all VMs as members and lists an owner of each slice, which is a range of a
// front's shards, in each zone.
func (c *cluster) waitOwners() {
	c.t.Helper()
	for _, v := range c.vms {
		eventually(c.t, waitTimeout, v.name+" lists all members and an owner of each slice", func() bool {
			s := c.status(v)
			if !s.Ready || len(s.Members) != len(c.vms) || len(s.Owners) == 0 {
				return false
			}
			for _, o := range s.Owners {
				if len(o.Owners) == 0 {
					return false
				}
			}
			return true
		})
	}
}

// answer is the reply to a caller: a query result or a refusal.
type answer struct {
	Status        int `json:"-"`
	Header        http.Header
	RequestID     string
	Snapshot      uint64
	ShardMapEpoch uint64
	Coverage      struct {
		Asked, Answered int
		Fraction        float64
		Missing         []struct{ Shard, Reason string }
	}
	Rows []struct {
		Shard    string
		Snapshot uint64
		BodyHash string
	}
	// Kind, Message and Ran are set in refusals. Ran says whether the request ran: yes, no or unknown.
	Kind, Message, Ran string
	RetryAfterMs       int64
	Took               time.Duration `json:"-"`
}

// query sends a query to a VM. The headers alternate names and values.
func (c *cluster) query(v *vm, front, body string, headers ...string) answer {
	c.t.Helper()
	a, err := tryQuery(v, front, body, headers...)
	qt.Assert(c.t, err, qt.IsNil)
	return a
}

func tryQuery(v *vm, front, body string, headers ...string) (answer, error) {
	var a answer
	request, err := http.NewRequest(http.MethodPost, "http://"+v.callerAddress+"/v1/teams/"+team+"/fronts/"+front+"/query", strings.NewReader(body))
	if err != nil {
		return a, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Timeout: callTimeout}
	begun := time.Now()
	reply, err := client.Do(request)
	if err != nil {
		return a, err
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return a, err
	}
	a.Status, a.Header, a.Took = reply.StatusCode, reply.Header, time.Since(begun)
	return a, json.Unmarshal(text, &a)
}

// setBehaviour changes the behaviour of a target, or of all targets if the name is "all".
func (c *cluster) setBehaviour(target, patch string) {
	c.t.Helper()
	c.send(http.MethodPost, "http://"+c.targetControl+"/standin/targets/"+target+"/behaviour", json.RawMessage(patch))
}

// executions returns the execution logs of all targets.
func (c *cluster) executions() []cassiashard.Execution {
	c.t.Helper()
	var reply cassiashard.LogReply
	code, body := c.tryGet("http://" + c.targetControl + "/standin/targets/all/log")
	qt.Assert(c.t, code, qt.Equals, http.StatusOK)
	qt.Assert(c.t, json.Unmarshal(body, &reply), qt.IsNil)
	return reply.Entries
}

// setPlatformFaults changes the faults of the platform stand-in.
func (c *cluster) setPlatformFaults(patch string) {
	c.t.Helper()
	c.send(http.MethodPost, "http://"+c.platform+"/standin/faults", json.RawMessage(patch))
}

func (c *cluster) send(method, url string, body any) {
	c.t.Helper()
	text, err := json.Marshal(body)
	qt.Assert(c.t, err, qt.IsNil)
	request, err := http.NewRequest(method, url, bytes.NewReader(text))
	qt.Assert(c.t, err, qt.IsNil)
	reply, err := http.DefaultClient.Do(request)
	qt.Assert(c.t, err, qt.IsNil)
	defer reply.Body.Close()
	text, err = io.ReadAll(reply.Body)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, reply.StatusCode < 300, qt.IsTrue, qt.Commentf("%s %s: %d %s", method, url, reply.StatusCode, text))
}

func (c *cluster) tryGet(url string) (int, []byte) {
	client := http.Client{Timeout: callTimeout}
	reply, err := client.Get(url)
	if err != nil {
		return 0, nil
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil
	}
	return reply.StatusCode, body
}

// stop stops a VM by SIGTERM and requires that it exits with status 0.
func (c *cluster) stop(v *vm) {
	c.t.Helper()
	v.process.signal(syscall.SIGTERM)
	qt.Assert(c.t, v.process.wait(c.t, waitTimeout), qt.Equals, 0)
}

// newFront returns a front with the given number of shards. Each shard has one target in each of two zones, which rotate from
// shard to shard, or one target if there is only one zone.
func newFront(name string, shards int, zones []string) *cassiaschema.Front {
	f := &cassiaschema.Front{Name: name, ShardMapEpoch: 1, Deadline: durationpb.New(2 * time.Second)}
	for i := range shards {
		s := &cassiaschema.Shard{Name: fmt.Sprintf("%s-%02d", name, i)}
		for r := range min(2, len(zones)) {
			zone := zones[(i+r)%len(zones)]
			s.Targets = append(s.Targets, &cassiaschema.Target{Name: fmt.Sprintf("%s-%02d-%s", name, i, zone), AvailabilityZone: zone})
		}
		f.Shards = append(f.Shards, s)
	}
	return f
}
