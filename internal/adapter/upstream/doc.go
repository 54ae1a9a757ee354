// Package upstream assigns requests to the slots of upstreams and sends them there over HTTP. A slot is the right to run one
// request at an upstream, and daemons lend idle slots to each other.
package upstream
