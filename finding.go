package daisygap

// Severity says whether a finding makes a configuration invalid.
type Severity string

// The severities of findings. An entry with an error is rejected or dropped by daemons, or contradicts itself. A warning is an entry that
// takes effect, but most likely not as intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a fault that a check of a configuration has found. It never contains a customer's key.
type Finding struct {
	Severity Severity
	// Rule is the short name of the rule, such as "unreachable_route".
	Rule string
	// Table, Name and Field locate the entry. Name and Field may be empty.
	Table string
	Name  string
	Field string
	Text  string
}

// ConfigChange is a difference between two versions of a configuration. Old is empty for an added value and New for a removed one.
type ConfigChange struct {
	Table string `json:"table"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}
