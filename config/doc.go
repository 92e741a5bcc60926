// Package config parses and checks the configuration of a gradetiller system:
// client accounts, pools of endpoints, pipelines of stages, policies and
// experiments.
//
// A configuration is one YAML file, which is accepted as a whole or rejected.
// Parse is strict and reports all problems, each with file, line, column and
// fix, sorted by position. Settings of a single process (addresses, failure
// domain, certificates) are not part of the configuration; they come from flags
// and environment variables.
//
// # Usage
//
//	cfg, err := config.Parse("pipelines.yaml", data)
//	var problems config.Problems
//	if errors.As(err, &problems) { ... }
//	p, ok := cfg.Pipeline("roster")
package config
