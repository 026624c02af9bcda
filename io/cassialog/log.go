package cassialog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// New returns a logfmt logger that writes lines at or above the named level: debug, info, warn or error. An empty name
// means info.
func New(w io.Writer, levelName string) (log.Logger, error) {
	if levelName == "" {
		levelName = "info"
	}
	minimum, err := level.Parse(levelName)
	if err != nil {
		return nil, eris.Errorf("log level %q is unknown; use debug, info, warn or error", levelName)
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(minimum))
	return log.With(logger, "time", log.DefaultTimestampUTC), nil
}
