package poison

import (
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// maxProcesses bounds the processes whose state is held, and maxRequests the requests that are held for one of them.
	maxProcesses = 1024
	maxRequests  = 64
	// sameMoment is the longest time between the ends of connections that a process's end can have broken together.
	sameMoment = daisygap.Millis(50)
)

// processes holds what is known of processes at which connections broke or that ended.
type processes map[daisygap.Process]*process

type process struct {
	// fingerprints are those of the requests whose connections broke.
	fingerprints []uint64
	// broken is the time at which the last connection broke, and together reports whether those of several requests broke at the
	// same moment.
	broken   daisygap.Millis
	together bool
	// ended is when the process was found to have ended, or 0, and source the evidence.
	ended  daisygap.Millis
	source Evidence
}

// broken records that a request's connection broke, and reports whether there is evidence that the process ended around that time.
func (m *processes) broken(id daisygap.Process, fingerprint uint64, at, now daisygap.Millis) bool {
	p := m.touch(id, now)
	p.add(fingerprint, at)
	return p.ended > 0 && max(p.ended-at, at-p.ended) < confirmWindow
}

// end records that a process ended, and returns the requests whose connections broke there.
func (m *processes) end(id daisygap.Process, source Evidence, now daisygap.Millis) []uint64 {
	p := m.touch(id, now)
	if p.ended == 0 || source == Replaced {
		p.source = source
	}
	p.ended = now
	return p.fingerprints
}

// requests returns the requests whose connections broke at a process.
func (m *processes) requests(id daisygap.Process) []uint64 {
	if p := (*m)[id]; p != nil {
		return p.fingerprints
	}
	return nil
}

func (m *processes) brokeTogether(id daisygap.Process) bool {
	p := (*m)[id]
	return p != nil && p.together
}

// source returns the evidence that a process ended, or "".
func (m *processes) source(id daisygap.Process) Evidence {
	if p := (*m)[id]; p != nil {
		return p.source
	}
	return ""
}

func (p *process) add(fingerprint uint64, at daisygap.Millis) {
	if len(p.fingerprints) > 0 && max(at-p.broken, p.broken-at) <= sameMoment && !slices.Contains(p.fingerprints, fingerprint) {
		p.together = true
	}
	p.broken = max(p.broken, at)
	if !slices.Contains(p.fingerprints, fingerprint) && len(p.fingerprints) < maxRequests {
		p.fingerprints = append(p.fingerprints, fingerprint)
	}
}

func (m *processes) touch(id daisygap.Process, now daisygap.Millis) *process {
	if *m == nil {
		*m = make(processes)
	}
	p := (*m)[id]
	if p == nil {
		if len(*m) >= maxProcesses {
			m.prune(now)
		}
		p = new(process)
		(*m)[id] = p
	}
	return p
}

// prune drops the processes whose state no longer matters, or else the one that changed longest ago.
func (m *processes) prune(now daisygap.Millis) {
	var oldest daisygap.Process
	oldestAt := now + 1
	for id, p := range *m {
		at := max(p.broken, p.ended)
		if now-at >= confirmWindow {
			delete(*m, id)
			continue
		}
		if at < oldestAt {
			oldest, oldestAt = id, at
		}
	}
	if len(*m) >= maxProcesses {
		delete(*m, oldest)
	}
}
