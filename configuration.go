package daisygap

import "sort"

// Configuration is one numbered version of the operators' steering policy.
type Configuration struct {
	Version    uint64              `json:"-"`
	Lookup     Lookup              `json:"lookup"`
	Regions    map[string]Region   `json:"regions"`
	Domains    map[string]Domain   `json:"domains"`
	Links      map[string]Link     `json:"links"`
	Kinds      map[string]Kind     `json:"kinds"`
	Groups     map[string]Group    `json:"groups"`
	Upstreams  map[string]Upstream `json:"upstreams"`
	Sites      map[string]Site     `json:"sites"`
	Blocks     map[string]string   `json:"blocks"`
	Drains     Drains              `json:"drains"`
	Keys       map[string]string   `json:"keys"`
	SigningKey string              `json:"sign"`
}

// Lookup sets how look-ups are answered.
type Lookup struct {
	TTL         Millis  `json:"ttl"`
	MaxHosts    int     `json:"answers"`
	OffloadStep float64 `json:"step"`
	DefaultSite string  `json:"site"`
}

// Region is a set of failure domains joined to other regions by capped links; Near lists them nearest first.
type Region struct {
	Near []string `json:"near"`
}

// Domain is a failure domain.
type Domain struct {
	Region string `json:"region"`
}

// Link caps one direction between two regions, named "from>to", in bytes a second.
type Link struct {
	Rate int64 `json:"rate"`
}

// Kind is one kind of work and how it is recognised.
type Kind struct {
	Rank          Rank     `json:"rank"`
	Idempotent    bool     `json:"repeat"`
	TargetLatency Millis   `json:"target"`
	MaxDeadline   Millis   `json:"most"`
	Domains       []string `json:"domains,omitempty"`
	// SlotLimits caps the slots that the kind may use in a domain; a domain that isn't named has no such cap.
	SlotLimits map[string]int `json:"take,omitempty"`
	MinShare   float64        `json:"floor"`
	Value      float64        `json:"worth"`
	QueueLimit int            `json:"queue"`
	RetryRatio float64        `json:"retry"`
	Match      []Match        `json:"match"`
}

// Match recognises a request; an empty field matches everything.
type Match struct {
	Host   string `json:"host,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
}

// Group is a pool of upstreams that serves some kinds of work.
type Group struct {
	Kinds           []string `json:"kinds"`
	WarmUp          Millis   `json:"warm"`
	MaxEjectedRatio float64  `json:"eject"`
}

// Upstream is one server of a group, with the limits that all daemons together keep.
type Upstream struct {
	Group       string `json:"group"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Site is a place that client blocks belong to.
type Site struct {
	Region string `json:"region"`
}

// Drains names what is to be emptied; a false value is the same as none.
type Drains struct {
	Hosts     map[string]bool `json:"hosts,omitempty"`
	Upstreams map[string]bool `json:"upstreams,omitempty"`
	Domains   map[string]bool `json:"domains,omitempty"`
	Regions   map[string]bool `json:"regions,omitempty"`
}

// DomainDrained tells whether a domain, or the region it lies in, is being drained.
func (c *Configuration) DomainDrained(domain string) bool {
	return c.Drains.Domains[domain] || c.Drains.Regions[c.Domains[domain].Region]
}

// DomainsOf returns the names of the domains of a region in order.
func (c *Configuration) DomainsOf(region string) []string {
	var names []string
	for name, d := range c.Domains {
		if d.Region == region {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// GroupOf returns the name of the group that serves a kind, or "" when there is none.
func (c *Configuration) GroupOf(kind string) string {
	for name, g := range c.Groups {
		for _, k := range g.Kinds {
			if k == kind {
				return name
			}
		}
	}
	return ""
}

// Allows tells whether a kind may be served in a domain.
func (c *Configuration) Allows(kind, domain string) bool {
	allowed := c.Kinds[kind].Domains
	if len(allowed) == 0 {
		return true
	}
	for _, d := range allowed {
		if d == domain {
			return true
		}
	}
	return false
}

// CloseDetectionDelay is how long an upstream may take to notice that a connection was closed, in milliseconds.
const CloseDetectionDelay = Millis(250)

// LongestDeadline returns the longest time that any request may hold a slot, in milliseconds.
func (c *Configuration) LongestDeadline() Millis {
	var longest Millis
	for _, k := range c.Kinds {
		longest = max(longest, k.MaxDeadline)
	}
	return longest + CloseDetectionDelay
}
