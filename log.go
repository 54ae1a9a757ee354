package daisygap

import "github.com/sirupsen/logrus"

// Fields are what an event's line says beside its name.
type Fields = logrus.Fields

// Log writes one part's short sentences with its fixed prefix.
type Log struct {
	Prefix string
	// Host is named on each event's line, so that the lines of several daemons can be read together.
	Host string
	Out  *logrus.Logger
}

// With returns a log for another part.
func (l Log) With(prefix string) Log {
	return Log{Prefix: prefix, Host: l.Host, Out: l.Out}
}

// Debugf writes a line for developers.
func (l Log) Debugf(format string, args ...any) {
	l.write(logrus.DebugLevel, format, args)
}

// Infof writes a line about ordinary events.
func (l Log) Infof(format string, args ...any) {
	l.write(logrus.InfoLevel, format, args)
}

// Warnf writes a line about something that an operator may have to look at.
func (l Log) Warnf(format string, args ...any) {
	l.write(logrus.WarnLevel, format, args)
}

// Event writes one structured line about a decision or a change of what the process believes.
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
