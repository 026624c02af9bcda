package cassiareach

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// update passes messages to a Reach and returns whether the VM is isolated after each of them.
func update(r *Reach, messages ...Message) []bool {
	var isolated []bool
	for _, m := range messages {
		before := r.Isolated()
		if changed := r.Update(m); changed != (r.Isolated() != before) {
			panic("a change that was not reported, or the reverse")
		}
		isolated = append(isolated, r.Isolated())
	}
	return isolated
}

func TestVMWithoutAnyTargetIsIsolated(t *testing.T) {
	for _, test := range []struct {
		name     string
		messages []Message
		isolated []bool
	}{
		{"all targets are out of reach", []Message{CheckBegan{Targets: 3}, Missed{}, Missed{}, Missed{}}, []bool{false, false, false, true}},
		{"one target answers", []Message{CheckBegan{Targets: 3}, Missed{}, Heard{}, Missed{}, Missed{}}, []bool{false, false, false, false, false}},
		{"the last answer was before the check", []Message{Heard{}, CheckBegan{Targets: 2}, Missed{}, Missed{}}, []bool{false, false, false, true}},
		{"one target only", []Message{CheckBegan{Targets: 1}, Missed{}}, []bool{false, false}},
		{"misses of two checks", []Message{CheckBegan{Targets: 2}, Missed{}, CheckBegan{Targets: 2}, Missed{}}, []bool{false, false, false, false}},
		{"a target answers again", []Message{CheckBegan{Targets: 2}, Missed{}, Missed{}, CheckBegan{Targets: 3}, Heard{}}, []bool{false, false, true, true, false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, update(&Reach{}, test.messages...), qt.DeepEquals, test.isolated)
		})
	}
}

func TestCheckOfManyTargetsEndsEarly(t *testing.T) {
	c := qt.New(t)
	r := &Reach{}
	r.Update(CheckBegan{Targets: 1000})
	for range sufficientMisses - 1 {
		c.Assert(r.Update(Missed{}), qt.IsFalse)
	}
	c.Check(r.Update(Missed{}), qt.IsTrue)
}
