package allowance

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// backoffPeriod is how long a daemon that didn't respond isn't used as a relay or coordinator. Gossip notices its end in about that
	// time.
	backoffPeriod = daisygap.Millis(4_000)
	// maxLate is the number of late replies in a row after which a daemon isn't used for a while. A single one may be due to a lost message
	// or a lack of processor time, and each change of coordinators resets buckets.
	maxLate = 2
)

// Coordinators chooses the coordinator of each slot among the live daemons. It is safe for concurrent use.
type Coordinators struct {
	mu    sync.Mutex
	peers []daisygap.Peer
	late  map[string]int
	// until holds the addresses that aren't used, and until when.
	until map[string]daisygap.Millis
	// chosen caches the coordinators by the number of slots, until a change of peers or until.
	chosen map[int][]daisygap.Peer
}

// SetPeers sets the live daemons.
func (c *Coordinators) SetPeers(peers []daisygap.Peer, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := !slices.Equal(c.peers, peers)
	for address, until := range c.until {
		if now >= until {
			delete(c.until, address)
			changed = true
		}
	}
	if changed {
		c.peers, c.chosen = peers, nil
	}
}

// Of returns the daemon that coordinates a slot and relays for the group of the same number, and whether there is one.
func (c *Coordinators) Of(k SlotKey) (daisygap.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) == 0 {
		return daisygap.Peer{}, false
	}
	list := c.chosen[k.Slots]
	if list == nil {
		list = choose(k.Slots, c.peers, func(p daisygap.Peer) bool { return c.until[p.Address] > 0 })
		if c.chosen == nil {
			c.chosen = make(map[int][]daisygap.Peer)
		}
		c.chosen[k.Slots] = list
	}
	return list[k.Slot], true
}

// Failed records that a daemon didn't respond. refused is set if it is known not to run, and false if its reply is late.
func (c *Coordinators) Failed(address string, refused bool, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late == nil {
		c.late, c.until = make(map[string]int), make(map[string]daisygap.Millis)
	}
	if c.late[address]++; refused || c.late[address] >= maxLate {
		delete(c.late, address)
		c.until[address], c.chosen = now+backoffPeriod, nil
	}
}

// Answered records that a daemon responded in time.
func (c *Coordinators) Answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.late, address)
}

// choose returns the coordinator of each slot, by rendezvous hashing. Daemons for which skip returns true are left out unless there is no
// other, and a daemon coordinates a second slot only if there are fewer daemons than slots.
func choose(slots int, daemons []daisygap.Peer, skip func(daisygap.Peer) bool) []daisygap.Peer {
	chosen := make([]daisygap.Peer, slots)
	used := make([]int, len(daemons))
	for i, p := range daemons {
		if skip(p) {
			used[i] = slots
		}
	}
	for slot := range chosen {
		suffix := "\x00" + strconv.Itoa(slot) + "/" + strconv.Itoa(slots)
		best, highest := -1, uint64(0)
		for i, p := range daemons {
			if best >= 0 && used[i] > used[best] {
				continue
			}
			if hash := xxhash.Sum64String(p.Name + suffix); best < 0 || used[i] < used[best] || hash > highest {
				best, highest = i, hash
			}
		}
		used[best]++
		chosen[slot] = daemons[best]
	}
	return chosen
}
