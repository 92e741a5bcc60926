// Package config holds the operators' configuration of a whole gradetiller
// system: client accounts, pools of endpoints, pipelines of stages, policies
// and experiments.
//
// A configuration is one YAML file that is accepted in full or not at all.
// Parse reads it strictly and gathers every problem with file, line, column
// and fix, sorted by place. Settings of one process (addresses, failure
// domain, certificates) are no part of it; they come from flags and
// environment variables.
//
// # Usage
//
//	cfg, err := config.Parse("whitmore.yaml", data)
//	var problems config.Problems
//	if errors.As(err, &problems) { ... }
//	p, ok := cfg.Pipeline("roster")
package config
