package cassiaserver

import (
	"net"
	"os"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// ReadConfig reads and validates a VM's configuration file; addresses need an IP address and a port.
func ReadConfig(path string) (*cassiaschema.VmConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "the configuration can't be read; name an existing file with --config")
	}
	config, err := cassiasettings.ParseVMConfig(cassiasettings.Text{File: path, YAML: text})
	if err != nil {
		return nil, err
	}
	return config, checkAddresses(config)
}

// checkAddresses checks that each address is an IP address and a port.
func checkAddresses(config *cassiaschema.VmConfig) error {
	addresses := map[string]string{
		"callerAddress": config.CallerAddress, "operatorAddress": config.OperatorAddress,
		"peerAddress": config.PeerAddress, "gossipAddress": config.GossipAddress, "platformAddress": config.PlatformAddress,
	}
	for field, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return eris.Errorf("%s is %q; give an IP address and a port such as 127.0.0.1:7000", field, address)
		}
	}
	return nil
}
