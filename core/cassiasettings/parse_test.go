package cassiasettings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validTeam = `team: kaffi
fronts:
  - name: leit
    deadline: 0.350s
    shards:
      - name: s0
        targets:
          - {name: t0, address: "10.0.0.1:80", availabilityZone: sud-a}
          - {name: t1, address: "10.0.0.2:80", availabilityZone: sud-b}
`

// teamWith returns validTeam with the first occurrence of old replaced.
func teamWith(old, replacement string) string { return strings.Replace(validTeam, old, replacement, 1) }

func TestParseRefusesWhole(t *testing.T) {
	tests := []struct {
		name   string
		yaml   string
		kind   ProblemKind
		line   int
		detail string
	}{
		{"unknown field", teamWith("deadline: 0.350s", "dedline: 0.350s"), ProblemUnknownField, 4, "dedline"},
		{"constraint", teamWith("name: leit", "name: LEIT"), ProblemConstraint, 3, "pattern"},
		{"constraint of a number", teamWith("deadline: 0.350s", "minCoverage: 1.5"), ProblemConstraint, 4, "less than"},
		{"unknown value", teamWith("deadline: 0.350s", "preference: fastest"), ProblemConstraint, 4, "fastest"},
		{"no shards", "team: kaffi\nfronts:\n  - name: leit\n", ProblemConstraint, 3, "at least 1"},
		{"syntax", "team: kaffi\nfronts: [\n", ProblemSyntax, 2, ""},
		{"tab", "team: kaffi\nfronts:\n\t- name: a\n", ProblemSyntax, 3, ""},
		{"empty", "", ProblemSyntax, 1, "empty"},
		{"two documents", validTeam + "---\nteam: other\n", ProblemSyntax, 10, "more than one"},
		{"repeated field", teamWith("deadline: 0.350s", "name: again"), ProblemDuplicate, 4, "line 3"},
		{"alias", "team: &a kaffi\nfronts: *a\n", ProblemSyntax, 2, "aliases"},
		{"oversized", validTeam + "#" + strings.Repeat("x", MaxSubtreeBytes), ProblemTooLarge, 0, "over the limit"},
		{"nested", "team: " + strings.Repeat("[", 100) + strings.Repeat("]", 100), ProblemSyntax, 1, "deeply"},
		{"lone carriage return", "\r0", ProblemSyntax, 1, "line break"},
		{"line separator", validTeam + "#\u2028\n", ProblemSyntax, 10, "line break"},
		{"address", teamWith("10.0.0.1:80", "db.example:80"), ProblemAddress, 8, "db.example"},
		{"no connections", teamWith("deadline: 0.350s", "targetLimits: {maxConnections: 1}"), ProblemConnectionShare, 4, "no connection"},
		{"target twice", teamWith("name: t1", "name: t0"), ProblemDuplicate, 9, "t0"},
		{"front twice", validTeam + validTeam[strings.Index(validTeam, "  - name: leit"):], ProblemDuplicate, 10, "leit"},
		{"shard twice", validTeam + validTeam[strings.Index(validTeam, "      - name: s0"):], ProblemDuplicate, 10, "s0"},
	}
	_, err := ParseTeam(Text{"kaffi.yaml", []byte(validTeam)})
	qt.Assert(t, err, qt.IsNil)
	_, err = ParseTeam(Text{"kaffi.yaml", []byte(strings.ReplaceAll(validTeam, "\n", "\r\n"))})
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ParseTeam(Text{"kaffi.yaml", []byte(test.yaml)})
			var invalid *InvalidError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			p := invalid.Problems[0]
			c.Assert(p.Kind, qt.Equals, test.kind, qt.Commentf("%v", err))
			c.Assert(p.File, qt.Equals, "kaffi.yaml")
			c.Assert(p.Line, qt.Equals, test.line, qt.Commentf("%v", err))
			c.Assert(p.String(), qt.Contains, test.detail)
			c.Assert(p.Remedy, qt.Not(qt.Equals), "")
		})
	}
}

func TestCheckTextsAcrossTeams(t *testing.T) {
	other := strings.NewReplacer("team: kaffi", "team: te", "name: leit", "name: saga").Replace(validTeam)
	limits := func(text, limits string) string {
		return strings.Replace(text, "    deadline", "    targetLimits: {"+limits+"}\n    deadline", 1)
	}
	root := "teams:\n  - {name: kaffi, tokenSha256: " + strings.Repeat("a", 64) + "}\n"
	tests := []struct {
		name  string
		texts []string
		kind  ProblemKind
	}{
		{"shares of one half each", []string{validTeam, other}, ""},
		{"shares over one", []string{validTeam, limits(other, "connectionShare: 0.6")}, ProblemConnectionShare},
		{"another cap", []string{validTeam, limits(other, "maxConnections: 30, connectionShare: 0.1")}, ProblemConnectionShare},
		{"another address", []string{validTeam, strings.Replace(other, "10.0.0.1", "10.0.0.9", 1)}, ProblemTargetMismatch},
		{"another zone", []string{validTeam, strings.Replace(other, "sud-a", "sud-c", 1)}, ProblemTargetMismatch},
		{"another name", []string{validTeam, strings.Replace(other, "name: t0", "name: t9", 1)}, ProblemTargetMismatch},
		{"one subtree twice", []string{validTeam, validTeam}, ProblemDuplicate},
		{"team listed", []string{root, validTeam}, ""},
		{"team not listed", []string{root, validTeam, other}, ProblemTeam},
		{"reserved name", []string{strings.Replace(root, "kaffi", "root", 1)}, ProblemTeam},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var texts []Text
			for i, yaml := range test.texts {
				texts = append(texts, Text{string(rune('a'+i)) + ".yaml", []byte(yaml)})
			}
			err := CheckTexts(texts)
			if test.kind == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var invalid *InvalidError
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Has(test.kind), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func FuzzParseTeam(f *testing.F) {
	f.Add([]byte(validTeam))
	f.Add([]byte("\r0"))
	f.Add([]byte("? - &a [*a]\n: !!binary x"))
	f.Fuzz(func(_ *testing.T, yaml []byte) {
		_, _ = ParseTeam(Text{"fuzz.yaml", yaml})
		_, _ = ParseRoot(Text{"fuzz.yaml", yaml})
	})
}

// BenchmarkBuild measures the cost of an edit of a large subtree on each VM: 50 fronts, each with 46 shards of two targets.
func BenchmarkBuild(b *testing.B) {
	var text strings.Builder
	text.WriteString("team: kaffi\nfronts:\n")
	for f := range 50 {
		fmt.Fprintf(&text, "  - name: front%d\n    targetLimits: {connectionShare: 0.01}\n    shards:\n", f)
		for s := range 46 {
			fmt.Fprintf(&text, "      - name: shard%d\n        targets:\n", s)
			for r := range 2 {
				fmt.Fprintf(&text, "          - {name: t-%d-%d, address: \"10.1.%d.%d:80\", availabilityZone: sud-a}\n", s, r, s, r)
			}
		}
	}
	edits := Edits{"root": {Subtree: "root", Revision: 1, EditId: "root", Yaml: []byte(rootText("kaffi"))},
		"big": {Subtree: "kaffi", Revision: 1, EditId: "big", Yaml: []byte(text.String())}}
	head := nextHead(nextHead(nil, edits["root"]), edits["big"])
	for b.Loop() {
		if _, err := Build(head, edits, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(text.Len()), "textBytes")
}
