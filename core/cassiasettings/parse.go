package cassiasettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"buf.build/go/protovalidate"
	"buf.build/go/protoyaml"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// MaxSubtreeBytes is the maximum size of the YAML text of one subtree, in bytes.
const MaxSubtreeBytes = 1_000_000

// maxYAMLDepth is the maximum nesting depth of a YAML text.
const maxYAMLDepth = 32

// Subtree is the name of a part of the settings tree. A subtree is edited as a whole.
type Subtree string

// RootSubtree is the subtree that belongs to the operators. Every other subtree has the name of its team.
const RootSubtree Subtree = "root"

// TeamSubtree returns the name of a team's subtree.
func TeamSubtree(team cassiaid.TeamName) Subtree { return Subtree(team) }

// Text is a YAML text and the file name that problems in it report.
type Text struct {
	File string
	YAML []byte
}

// ParseRoot parses and validates the text of the root subtree. Invalid settings are returned as an InvalidError.
func ParseRoot(t Text) (*cassiaschema.RootSettings, error) {
	root := new(cassiaschema.RootSettings)
	if err := parse(t, root); err != nil {
		return nil, err
	}
	return root, problemsError(checkRoot(t, root))
}

// ParseTeam parses and validates the text of a team's subtree. Rules that involve other subtrees are checked by Build and
// CheckTexts. Invalid settings are returned as an InvalidError.
func ParseTeam(t Text) (*cassiaschema.TeamSettings, error) {
	team := new(cassiaschema.TeamSettings)
	if err := parse(t, team); err != nil {
		return nil, err
	}
	return team, problemsError(checkTeam(t, team))
}

// ParseVMConfig parses and validates the local configuration of a VM. An invalid configuration is returned as an
// InvalidError.
func ParseVMConfig(t Text) (*cassiaschema.VmConfig, error) {
	config := new(cassiaschema.VmConfig)
	if err := parse(t, config); err != nil {
		return nil, err
	}
	return config, nil
}

// DetectSubtree returns the subtree that a text belongs to: the one named by its team field, or RootSubtree if that
// field is absent or empty. A text that cannot be decoded is returned as an InvalidError.
func DetectSubtree(t Text) (Subtree, error) {
	var fields struct {
		Team string `yaml:"team"`
	}
	if err := yaml.Unmarshal(t.YAML, &fields); err != nil {
		return "", problemsError([]Problem{syntaxProblem(t.File, err)})
	}
	if fields.Team == "" {
		return RootSubtree, nil
	}
	return Subtree(fields.Team), nil
}

func parse(t Text, m proto.Message) error {
	if len(t.YAML) > MaxSubtreeBytes {
		return problemsError([]Problem{{Kind: ProblemTooLarge, File: t.File,
			Detail: fmt.Sprintf("the text has %d bytes, over the limit of %d", len(t.YAML), MaxSubtreeBytes),
			Remedy: "split the fronts between teams or shorten the text"}})
	}
	if problems := checkDocument(t); len(problems) > 0 {
		return problemsError(problems)
	}
	return decodeYAML(t, m)
}

// decodeYAML decodes a text into m and validates it. It returns a panic of the decoder as a problem, because unusual YAML
// must not crash a VM.
func decodeYAML(t Text, m proto.Message) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = problemsError([]Problem{{Kind: ProblemSyntax, File: t.File, Detail: fmt.Sprintf("the text cannot be decoded: %v", panicValue),
				Remedy: "write plain YAML as in the examples"}})
		}
	}()
	options := protoyaml.UnmarshalOptions{Path: t.File, Validator: validator{}}
	if err := options.Unmarshal(t.YAML, m); err != nil {
		return problemsError(decodeProblems(t.File, err))
	}
	return nil
}

// validator adapts protovalidate to the Validator interface of protoyaml.
type validator struct{}

// Validate checks the constraints that the schema declares.
func (validator) Validate(m proto.Message) error { return protovalidate.Validate(m) }

// checkDocument returns problems for text that the decoder would silently ignore, such as further documents and duplicate
// fields.
func checkDocument(t Text) []Problem {
	if at := unsupportedLineBreak.FindIndex(t.YAML); at != nil {
		return []Problem{{Kind: ProblemSyntax, File: t.File, Line: 1 + bytes.Count(t.YAML[:at[0]], []byte("\n")),
			Detail: "the line break is neither LF nor CRLF", Remedy: "save the file with LF line breaks"}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(t.YAML))
	var first, second yaml.Node
	if err := decoder.Decode(&first); errors.Is(err, io.EOF) {
		return []Problem{{Kind: ProblemSyntax, File: t.File, Line: 1, Detail: "the text is empty",
			Remedy: "write the settings, or at least the field that names the subtree"}}
	} else if err != nil {
		return []Problem{syntaxProblem(t.File, err)}
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return []Problem{{Kind: ProblemSyntax, File: t.File, Line: second.Line,
			Detail: "the text contains more than one document", Remedy: "keep one document in each file"}}
	}
	return checkNode(t.File, &first, 0)
}

func checkNode(file string, n *yaml.Node, depth int) []Problem {
	if depth > maxYAMLDepth {
		return []Problem{{Kind: ProblemSyntax, File: file, Line: n.Line,
			Detail: "the text is nested too deeply", Remedy: "follow the structure of the settings schema"}}
	}
	if n.Kind == yaml.AliasNode {
		return []Problem{{Kind: ProblemSyntax, File: file, Line: n.Line,
			Detail: "aliases are not supported", Remedy: "replace the alias with the value"}}
	}
	var problems []Problem
	if n.Kind == yaml.MappingNode {
		problems = duplicateFields(file, n)
	}
	for _, c := range n.Content {
		problems = append(problems, checkNode(file, c, depth+1)...)
	}
	return problems
}

func duplicateFields(file string, n *yaml.Node) []Problem {
	var problems []Problem
	lines := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if line, ok := lines[key.Value]; ok {
			problems = append(problems, Problem{Kind: ProblemDuplicate, File: file, Line: key.Line, Field: key.Value,
				Detail: fmt.Sprintf("the field is already set on line %d", line), Remedy: "remove one of the two"})
			continue
		}
		lines[key.Value] = key.Line
	}
	return problems
}

var (
	positionedError = regexp.MustCompile(`^(.*):(\d+):(\d+) (.*)$`)
	yamlError       = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)
	// unsupportedLineBreak matches characters that YAML treats as line breaks but that the decoder does not count as
	// lines.
	unsupportedLineBreak = regexp.MustCompile("\r(?:[^\n]|$)|[\u0085\u2028\u2029]")
	constraintError      = regexp.MustCompile(`^([\w.\[\]"-]+): (.*) \([\w.]+\)$`)
)

func syntaxProblem(file string, err error) Problem {
	p := Problem{Kind: ProblemSyntax, File: file, Detail: strings.TrimPrefix(err.Error(), "yaml: "),
		Remedy: "write the text as YAML with spaces for indentation"}
	if m := yamlError.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Detail = m[2]
	}
	return p
}

// decodeProblems converts the errors of protoyaml into problems. It parses their messages, because protoyaml does not
// export their types.
func decodeProblems(file string, err error) []Problem {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []Problem{decodeProblem(file, err)}
	}
	var problems []Problem
	for _, e := range joined.Unwrap() {
		problems = append(problems, decodeProblem(file, e))
	}
	return problems
}

func decodeProblem(file string, err error) Problem {
	first, _, _ := strings.Cut(err.Error(), "\n")
	m := positionedError.FindStringSubmatch(first)
	if m == nil {
		return syntaxProblem(file, err)
	}
	p := Problem{Kind: ProblemConstraint, File: file, Detail: m[4], Remedy: "give a value that the schema allows"}
	p.Line, _ = strconv.Atoi(m[2])
	if strings.HasPrefix(p.Detail, "unknown field") {
		p.Kind = ProblemUnknownField
		p.Remedy = "correct the name of the field or remove it"
		return p
	}
	if rule := constraintError.FindStringSubmatch(p.Detail); rule != nil {
		p.Field, p.Detail = rule[1], rule[2]
	}
	return p
}

// fieldLine returns the line of the field at a path of names and indices, or of its nearest existing parent. It returns 0
// if the text cannot be parsed.
func fieldLine(t Text, path ...any) int {
	var document yaml.Node
	if err := yaml.Unmarshal(t.YAML, &document); err != nil || len(document.Content) == 0 {
		return 0
	}
	n := document.Content[0]
	line := n.Line
	for _, step := range path {
		n = childNode(n, step)
		if n == nil {
			return line
		}
		line = n.Line
	}
	return line
}

func childNode(n *yaml.Node, step any) *yaml.Node {
	switch s := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && s < len(n.Content) {
			return n.Content[s]
		}
	case string:
		for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == s {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

// fieldPath formats a path in the form fronts[0].shards[1].
func fieldPath(path ...any) string {
	var b strings.Builder
	for _, step := range path {
		switch s := step.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", s)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s)
		}
	}
	return b.String()
}
