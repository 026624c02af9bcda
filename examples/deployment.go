// Package cassiaexample embeds the example settings of two deployments.
package cassiaexample

import (
	"embed"
	"encoding/json"
	"path"
	"strings"

	"buf.build/go/protoyaml"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

// Names of the deployments.
const (
	Hrafnsvik = "hrafnsvik"
	Manizales = "manizales"
)

//go:embed hrafnsvik manizales
var files embed.FS

// Deployment is the settings of one deployment.
type Deployment struct {
	Root  *cassiaschema.RootSettings
	Teams []*cassiaschema.TeamSettings
	VMs   []*cassiaschema.VmConfig
	// Files holds the YAML text of each team's settings and, under the empty name, of the root settings.
	Files map[string][]byte
	// Behaviour holds, for each team, the fields in which its simulated targets differ from the default behaviour, as a
	// JSON object.
	Behaviour map[string]json.RawMessage
}

// Load returns the embedded settings of the named deployment.
func Load(name string) (*Deployment, error) {
	entries, err := files.ReadDir(name)
	if err != nil {
		return nil, eris.Wrapf(err, "no deployment %q; use %s or %s", name, Hrafnsvik, Manizales)
	}
	d := &Deployment{Files: map[string][]byte{}}
	for _, e := range entries {
		if err := d.addFile(path.Join(name, e.Name())); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addFile parses one embedded file; its name determines the kind of settings.
func (d *Deployment) addFile(file string) error {
	content, err := files.ReadFile(file)
	if err != nil {
		return err
	}
	base := strings.TrimSuffix(path.Base(file), ".yaml")
	switch {
	case base == "behaviour.json":
		return eris.Wrap(json.Unmarshal(content, &d.Behaviour), file)
	case base == "root":
		d.Root = &cassiaschema.RootSettings{}
		d.Files[""] = content
		return Parse(file, content, d.Root)
	case strings.HasPrefix(base, "vm-"):
		vm := &cassiaschema.VmConfig{}
		d.VMs = append(d.VMs, vm)
		return Parse(file, content, vm)
	}
	team := &cassiaschema.TeamSettings{}
	d.Teams = append(d.Teams, team)
	d.Files[base] = content
	return Parse(file, content, team)
}

// Parse parses YAML into a message. The file name is used in errors only.
func Parse(file string, content []byte, message proto.Message) error {
	return protoyaml.UnmarshalOptions{Path: file}.Unmarshal(content, message)
}
