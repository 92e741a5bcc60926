// Package load generates load as a client of the system and checks every response:
// it must be complete, belong to its request, and not stem from more runs than
// allowed.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{...})
//	fmt.Println(report.Summary())
package load
