package allowance

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// oneSlot is the number of daemons up to which there is one slot, whose coordinator is also the relay of all daemons.
	oneSlot = 16
	// minReportInterval and minRelayInterval are the shortest times between two regular reports of a daemon to its relay, and of a relay
	// to the coordinator of a slot. In larger fleets the intervals grow, so that a coordinator receives at most about
	// reportsPerSecond and relayReportsPerSecond of them.
	minReportInterval     = daisygap.Millis(250)
	minRelayInterval      = daisygap.Millis(100)
	reportsPerSecond      = 80
	relayReportsPerSecond = 40
	// minSpacing is the shortest time between two reports on one link, also of urgent ones.
	minSpacing = daisygap.Millis(100)
	// idBits is the number of bits of a customer's ID. With 48 bits, two of 100,000 customers have the same with a probability of 2 in
	// 100,000; those would share the smaller allowance.
	idBits = 48
	// maxSlots bounds the number of slots that a report may name. It is reached by four million daemons.
	maxSlots = 1 << 10
)

// ID returns the ID of a customer in messages.
func ID(name string) uint64 {
	return xxhash.Sum64String(name) >> (64 - idBits)
}

// Slots returns the number of slots among which a number of daemons distribute the customers. It is also the number of groups of daemons.
// It grows with the square root, so that neither a group nor the number of relays becomes large.
func Slots(daemons int) int {
	if daemons <= oneSlot {
		return 1
	}
	return int(math.Sqrt(float64(daemons)) / 2)
}

// IsValid reports whether the slots of a received report are plausible.
func IsValid(r daisygap.AllowanceReport) bool {
	return r.Slots >= 1 && r.Slots <= maxSlots && r.Slot >= 0 && r.Slot < r.Slots && r.Heard >= 0
}

// groupOf returns the group of a daemon. The coordinator of the slot with the same number is its relay.
func groupOf(name string, slots int) int {
	return int(xxhash.Sum64String(name) % uint64(slots))
}

// reportInterval returns the time between two regular reports of a daemon.
func reportInterval(daemons int) daisygap.Millis {
	return max(minReportInterval, daisygap.Millis(daemons/Slots(daemons)*1_000/reportsPerSecond))
}

// relayInterval returns the time between two regular reports of a relay to a coordinator.
func relayInterval(daemons int) daisygap.Millis {
	return max(minRelayInterval, daisygap.Millis(Slots(daemons)*1_000/relayReportsPerSecond))
}

// heardPeriod is how long a daemon counts as reporting after a report to its relay, and relayHeardPeriod the same for a relay and a
// coordinator. They cover the loss of a report.
func heardPeriod(daemons int) daisygap.Millis {
	return 2*reportInterval(daemons) + heardMargin
}

func relayHeardPeriod(daemons int) daisygap.Millis {
	return 2*max(relayInterval(daemons), minReportInterval) + heardMargin
}

// heardMargin covers the time of a call and the tick of the sender.
const heardMargin = daisygap.Millis(200)
