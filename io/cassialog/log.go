package cassialog

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// New returns a logfmt logger that writes lines at or above the named level: debug, info, warn or error. An empty name
// means info. Lines of level warn and above are important.
func New(output *Bounded, levelName string) (log.Logger, error) {
	if levelName == "" {
		levelName = "info"
	}
	minimum, err := level.Parse(levelName)
	if err != nil {
		return nil, eris.Errorf("log level %q is unknown; use debug, info, warn or error", levelName)
	}
	ordinary := log.NewLogfmtLogger(log.NewSyncWriter(output))
	important := log.NewLogfmtLogger(log.NewSyncWriter(output.Important()))
	byImportance := log.LoggerFunc(func(fields ...any) error {
		if isImportant(fields) {
			return important.Log(fields...)
		}
		return ordinary.Log(fields...)
	})
	return log.With(level.NewFilter(byImportance, level.Allow(minimum)), "time", log.DefaultTimestampUTC), nil
}

// isImportant reports whether the fields of a line hold the level warn or a higher one.
func isImportant(fields []any) bool {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == level.Key() {
			return fields[i+1] == level.WarnValue() || fields[i+1] == level.ErrorValue()
		}
	}
	return false
}
