package daisygap

import "github.com/sirupsen/logrus"

// Fields are the structured fields of a logged event.
type Fields = logrus.Fields

// Log writes the log lines of one component, each with the component's prefix.
type Log struct {
	Prefix string
	// Host is a field of each event, so that the logs of several daemons can be merged.
	Host string
	Out  *logrus.Logger
}

// With returns a log for another component.
func (l Log) With(prefix string) Log {
	return Log{Prefix: prefix, Host: l.Host, Out: l.Out}
}

// Debugf logs a message for developers.
func (l Log) Debugf(format string, args ...any) {
	l.write(logrus.DebugLevel, format, args)
}

// Infof logs a message about normal operation.
func (l Log) Infof(format string, args ...any) {
	l.write(logrus.InfoLevel, format, args)
}

// Warnf logs a message about a condition that may need the attention of an operator.
func (l Log) Warnf(format string, args ...any) {
	l.write(logrus.WarnLevel, format, args)
}

// Event logs a decision, or a change of the process's state, as one structured line.
func (l Log) Event(name string, f Fields) {
	if l.Out == nil || !l.Out.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	l.Out.WithFields(logrus.Fields{"part": l.Prefix, "host": l.Host}).WithFields(f).Info(name)
}

func (l Log) write(level logrus.Level, format string, args []any) {
	if l.Out != nil && l.Out.IsLevelEnabled(level) {
		l.Out.Logf(level, l.Prefix+": "+format, args...)
	}
}
