package daisygap

import "sort"

// Configuration is one numbered version of the steering policy that the operators maintain.
type Configuration struct {
	Version   uint64              `json:"-"`
	Lookup    Lookup              `json:"lookup"`
	Regions   map[string]Region   `json:"regions"`
	Domains   map[string]Domain   `json:"domains"`
	Links     map[string]Link     `json:"links"`
	Kinds     map[string]Kind     `json:"kinds"`
	Groups    map[string]Group    `json:"groups"`
	Upstreams map[string]Upstream `json:"upstreams"`
	Sites     map[string]Site     `json:"sites"`
	// Blocks maps the address blocks of clients to sites.
	Blocks map[string]string `json:"blocks"`
	Drains Drains            `json:"drains"`
	// Keys maps the names of keys that sign receipts to the keys in base64. SigningKey names the one for new receipts.
	Keys       map[string]string `json:"keys"`
	SigningKey string            `json:"sign"`
}

// Lookup configures the answers to callers that look up entry hosts.
type Lookup struct {
	// TTL is how long a caller may cache an answer.
	TTL Millis `json:"ttl"`
	// MaxHosts is the largest number of entry hosts in an answer.
	MaxHosts int `json:"answers"`
	// OffloadStep limits how much of a domain's work may move to or from other domains per second, as a fraction.
	OffloadStep float64 `json:"step"`
	// DefaultSite is the site of addresses that are in no known block.
	DefaultSite string `json:"site"`
}

// Region is a set of failure domains that is connected to other regions by rate-limited links.
// Near lists the other regions, nearest first.
type Region struct {
	Near []string `json:"near"`
}

// Domain is a failure domain: upstreams and daemons that may fail together.
type Domain struct {
	Region string `json:"region"`
}

// Link limits the traffic from one region to another, in bytes per second. Its name is "from>to".
type Link struct {
	Rate int64 `json:"rate"`
}

// Kind is a class of requests with its limits and the rules that match requests to it.
type Kind struct {
	Rank Rank `json:"rank"`
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool `json:"repeat"`
	// TargetLatency is the time until the deadline of a request that states none.
	TargetLatency Millis `json:"target"`
	// MaxDeadline caps the time until a request's deadline.
	MaxDeadline Millis `json:"most"`
	// Domains lists the domains that may serve the kind. An empty list allows all.
	Domains []string `json:"domains,omitempty"`
	// SlotLimits caps the slots that the kind may use in a domain. A domain that is not listed has no cap.
	SlotLimits map[string]int `json:"take,omitempty"`
	// Floor is the fraction of the group's slots that the kind gets even while more urgent kinds are waiting.
	Floor float64 `json:"floor"`
	// Worth orders kinds of the same rank. The kind with the highest worth is served first.
	Worth float64 `json:"worth"`
	// QueueLimit is the largest number of waiting requests.
	QueueLimit int `json:"queue"`
	// RetryRatio is the largest number of retries as a fraction of the first attempts.
	RetryRatio float64 `json:"retry"`
	Match      []Match `json:"match"`
}

// Match is a rule that matches requests to a kind. An empty field matches every request.
type Match struct {
	Host   string `json:"host,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
}

// Group is a pool of upstreams that serves some kinds of requests.
type Group struct {
	Kinds []string `json:"kinds"`
	// WarmUp is the time in which a new upstream's limit rises to its full number of slots.
	WarmUp Millis `json:"warm"`
	// MaxEjectedRatio is the largest fraction of the upstreams that may be ejected at a time. In a group of several
	// upstreams one may be ejected whatever the ratio.
	MaxEjectedRatio float64 `json:"eject"`
}

// Upstream is one server of a group. Its limits apply to the traffic of all daemons together.
type Upstream struct {
	Group       string `json:"group"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Site is the network location of some client address blocks.
type Site struct {
	Region string `json:"region"`
}

// Drains names the hosts, upstreams, domains and regions that should receive no new work.
// A false value means the same as a missing one.
type Drains struct {
	Hosts     map[string]bool `json:"hosts,omitempty"`
	Upstreams map[string]bool `json:"upstreams,omitempty"`
	Domains   map[string]bool `json:"domains,omitempty"`
	Regions   map[string]bool `json:"regions,omitempty"`
}

// DomainDrained reports whether a domain or its region is being drained.
func (c *Configuration) DomainDrained(domain string) bool {
	return c.Drains.Domains[domain] || c.Drains.Regions[c.Domains[domain].Region]
}

// DomainsOf returns the sorted names of the domains of a region.
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

// GroupOf returns the name of the group that serves a kind, or "" if there is none.
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

// Allows reports whether a kind may be served in a domain.
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

// CloseDetectionDelay is the longest time in which an upstream notices that a connection was closed.
const CloseDetectionDelay = Millis(250)

// LongestDeadline returns the longest time for which any request may occupy a slot, in milliseconds.
func (c *Configuration) LongestDeadline() Millis {
	var longest Millis
	for _, k := range c.Kinds {
		longest = max(longest, k.MaxDeadline)
	}
	return longest + CloseDetectionDelay
}
