package cassiaexplain

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logOfIsolatedVM = `level=info time=2026-12-05T05:00:00.100000000Z vm=vm-1 availabilityZone=zone-a event=targetEjected target=t-1 cause=silent
level=info time=2026-12-05T05:00:01.000000000Z vm=vm-1 availabilityZone=zone-a event=isolated unreached=5
event=linesDropped count=7
level=info time=2026-12-05T05:00:02.000000000Z vm=vm-1 availabilityZone=zone-a event=forwarded request=a1 to=vm-2
level=info time=2026-12-05T05:00:02.200000000Z vm=vm-1 availabilityZone=zone-a event=forwarded request=a1 to=vm-3
not a line of a log
level=warn time=2026-12-05T05:00:02.500000000Z vm=vm-1 availabilityZone=zone-a event=refused request=a1 elapsed=500ms reason=failed status=502 fingerprint=77 lastFailure=lost@t-9
level=info time=2026-12-05T05:00:02.600000000Z vm=vm-1 availabilityZone=zone-a event=reconnected
`

const logOfOtherVM = `level=info time=2026-12-05T05:00:01.900000000Z vm=vm-3 availabilityZone=zone-b event=suspect fingerprint=77 content=88 target=t-8 verdict=alone
level=info time=2026-12-05T05:00:02.100000000Z vm=vm-2 availabilityZone=zone-b event=declined request=a1 from=vm-1 reason=olderConfiguration
level=info time=2026-12-05T05:00:02.300000000Z vm=vm-2 availabilityZone=zone-b event=answered request=b2 elapsed=20ms status=200
`

func read(c *qt.C, logs ...string) []Line {
	var all []Line
	for _, text := range logs {
		lines, _, err := Read(strings.NewReader(text))
		c.Assert(err, qt.IsNil)
		all = append(all, lines...)
	}
	return all
}

func events(lines []Line) string {
	var names []string
	for _, l := range lines {
		names = append(names, string(l.VM)+" "+l.Event)
	}
	return strings.Join(names, ", ")
}

func TestRequestIsExplainedFromTheLogsOfSeveralVMs(t *testing.T) {
	c := qt.New(t)
	e, err := Explain(read(c, logOfOtherVM, logOfIsolatedVM), "a1")
	c.Assert(err, qt.IsNil)
	c.Check(events(e.Decisions), qt.Equals, "vm-1 forwarded, vm-2 declined, vm-1 forwarded, vm-1 refused")
	c.Check(events(e.Suspicions), qt.Equals, "vm-3 suspect")
	c.Check(events(e.Beliefs), qt.Equals, "vm-1 targetEjected, vm-1 isolated, vm-1 linesDropped")
	c.Check(strings.Join(e.Missing, "; "), qt.Equals,
		"vm-3 was to serve the request, and no line of it is there: its log is not among the files, or lacks the line; vm-1 dropped 7 lines about that time")
	var text bytes.Buffer
	c.Assert(e.Write(&text), qt.IsNil)
	c.Check(strings.Contains(text.String(), "05:00:02.500000 vm-1 refused elapsed=500ms reason=failed"), qt.IsTrue, qt.Commentf("%s", text.String()))
}

func TestUnknownRequestIsAnError(t *testing.T) {
	c := qt.New(t)
	_, err := Explain(read(c, logOfOtherVM), "a2")
	c.Check(err, qt.ErrorMatches, "no line has request=a2; .*")
}

func TestMalformedLinesAreCounted(t *testing.T) {
	c := qt.New(t)
	lines, malformed, err := Read(strings.NewReader(logOfIsolatedVM + "event=x time=yesterday\n\n\"\n"))
	c.Assert(err, qt.IsNil)
	c.Check(malformed, qt.Equals, 3)
	c.Check(lines, qt.HasLen, 7)
}
