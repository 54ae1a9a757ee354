// Package entry runs the daemon of one entry host: it joins the decisions to the adapters.
package entry
