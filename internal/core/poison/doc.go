// Package poison finds requests that crash the endpoints that run them (poison
// requests, also called queries of death).
//
// A client's tries of one request carry ids of their own; what makes them the same
// request is their content, which ID stands for.
//
// # Usage
//
//	id := poison.Identify(poison.Content{Caller: "clinics", Method: "POST", Host: host, Target: path, Body: body})
package poison
