package cassiareach

const (
	// minTargets is the number of targets that a VM needs to tell its own links from the targets.
	minTargets = 2
	// sufficientMisses is the number of targets out of reach after which a check need not wait for the others.
	sufficientMisses = 32
)

// Message is an input of Reach.Update.
type Message interface{ isMessage() }

// CheckBegan reports that a number of targets are checked.
type CheckBegan struct{ Targets int }

// Missed reports that one of these targets could not be reached.
type Missed struct{}

// Heard reports that some target answered this VM.
type Heard struct{}

func (CheckBegan) isMessage() {}
func (Missed) isMessage()     {}
func (Heard) isMessage()      {}

// Reach is one VM's view of its own links. The VM is isolated when all targets of a check are out of reach and no target has answered
// since the check began, until one answers. The zero value is a VM that reaches its targets.
type Reach struct {
	isolated bool
	// heard is true when a target has answered since the last check began.
	heard           bool
	targets, missed int
}

// Isolated reports whether the VM reaches no target.
func (r *Reach) Isolated() bool { return r.isolated }

// Update processes a message and reports whether Isolated has changed.
func (r *Reach) Update(m Message) (changed bool) {
	before := r.isolated
	switch m := m.(type) {
	case CheckBegan:
		r.heard, r.targets, r.missed = false, m.Targets, 0
	case Missed:
		r.missed++
		if !r.heard && r.targets >= minTargets && r.missed >= min(r.targets, sufficientMisses) {
			r.isolated = true
		}
	case Heard:
		r.heard, r.isolated = true, false
	}
	return r.isolated != before
}
