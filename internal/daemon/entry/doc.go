// Package entry runs the daemon of an entry host: it connects the policy packages to the network, store and peer adapters.
package entry
