package cassiaexplain

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"cassiasaddle/core/cassiaid"
)

// maxLineBytes is the length from which on a line counts as malformed.
const maxLineBytes = 1 << 20

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// Line is one line of a VM's log.
type Line struct {
	Time  time.Time
	VM    cassiaid.VMName
	Event string
	// Fields holds the fields in order, without the level, the time, the VM and its availability zone.
	Fields []Field
}

// Value returns the value of a field, or an empty string.
func (l Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a field that holds a duration, or zero.
func (l Line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// droppedEvent is the event of a line that counts dropped ones. It has neither time nor VM; the next line has.
const droppedEvent = "linesDropped"

// Read returns the lines of a log that have a time and an event, and the number of the others.
func Read(r io.Reader) (lines []Line, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	undated := 0
	for scanner.Scan() {
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		line, ok := parse(scanner.Text())
		switch {
		case ok && line.Event == droppedEvent && line.Time.IsZero():
			undated++
		case !ok || line.Time.IsZero():
			malformed++
			continue
		default:
			for i := len(lines) - undated; i < len(lines); i++ {
				lines[i].Time, lines[i].VM = line.Time, line.VM
			}
			undated = 0
		}
		lines = append(lines, line)
	}
	return lines[:len(lines)-undated], malformed, scanner.Err()
}

func parse(text string) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return Line{}, false
				}
				line.Time = at
			case "vm":
				line.VM = cassiaid.VMName(value)
			case "event":
				line.Event = value
			case "level", "availabilityZone":
			default:
				line.Fields = append(line.Fields, Field{Key: key, Value: value})
			}
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}
