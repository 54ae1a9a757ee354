// Package examples embeds the example deployments.
package examples

import "embed"

// Files holds a configuration.json and a host.json for each deployment.
//
//go:embed hivecraft/*.json capsula/*.json
var Files embed.FS
