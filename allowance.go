package daisygap

import "context"

// AllowanceReport counts the admitted and refused requests of customers with a rate. A daemon sends it to the relay of its group,
// and a relay reports the sums of its group to the coordinator of each slot.
type AllowanceReport struct {
	// From is the name of the reporting daemon.
	From string `json:"f"`
	// Slots is the number of slots among which the sender distributes the customers.
	Slots int `json:"n"`
	// Heard is the number of daemons that recently reported to the sending relay. It is 0 in the report of a daemon to its relay.
	Heard int `json:"h,omitempty"`
	// Slot is the slot that a relay reports on.
	Slot int `json:"s,omitempty"`
	// Seen is the Version of the last reply from the receiver, or 0.
	Seen uint64         `json:"v,omitempty"`
	Uses []AllowanceUse `json:"u,omitempty"`
}

// AllowanceUse counts requests of a customer since the last report.
type AllowanceUse struct {
	// Customer is the truncated hash of the customer's name.
	Customer uint64 `json:"c"`
	// Admitted is negative if more tokens were returned than taken.
	Admitted int `json:"a,omitempty"`
	Refused  int `json:"r,omitempty"`
}

// AllowanceLimit is the part of a customer's requests that each daemon may admit.
type AllowanceLimit struct {
	Customer uint64 `json:"c"`
	// Fraction is from 0 to 1. At 1 the customer is no longer limited.
	Fraction float64 `json:"p,omitempty"`
	// Wait is the time in which the customer's tokens are replenished for the requests that were refused lately.
	Wait Millis `json:"w,omitempty"`
}

// AllowanceReply is the reply to an AllowanceReport.
type AllowanceReply struct {
	// Version counts the changes of the sender's limits, from a random start.
	Version uint64 `json:"v"`
	// Limits lists the limits that changed after the Seen of the report, or all limits if Full is set.
	Limits []AllowanceLimit `json:"l,omitempty"`
	Full   bool             `json:"a,omitempty"`
	// Late lists the slots whose coordinators are late to respond to the relay, and Silent those whose coordinators don't.
	Late   []int `json:"d,omitempty"`
	Silent []int `json:"s,omitempty"`
}

// AllowancePeers is the client side of the reports on customers' allowances.
type AllowancePeers interface {
	// Allowance reports to a relay, or to the coordinator of a slot.
	Allowance(ctx context.Context, address string, r AllowanceReport) (AllowanceReply, error)
}

// AllowanceService is the server side of the reports on customers' allowances.
type AllowanceService interface {
	ServeAllowance(r AllowanceReport) AllowanceReply
}
