// Package load is a caller that makes load and checks every answer from
// outside: whole, of its own request, and run no more often than allowed.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{...})
//	fmt.Println(report.Line())
package load
