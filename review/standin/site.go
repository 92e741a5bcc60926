//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// The names of the deployment. They are those of the site pwani-slots.
const (
	host    = "pule25.example"
	apiKey  = "9dnn2ctnfzs989anu6ws"
	tenant  = "bozi300"
	region  = "mombasa"
	graceS  = 8
	beatMS  = 1200
	readyIn = 20 * time.Second
)

var zones = []string{"kilindini", "changamwe", "miritini"}

// site is a deployment: a store, workers, and the addresses of the nodes.
type site struct {
	o     options
	r     *record
	store *store
	nodes []addresses
}

// addresses are where a node listens.
type addresses struct{ name, zone, front, ready, directory, control string }

// newSite starts a store and writes the settings of the nodes.
func newSite(o options, r *record) (*site, error) {
	s := &site{o: o, r: r, store: newStore()}
	storeAddress, err := listenHTTP(s.store)
	if err != nil {
		return nil, err
	}
	for i := range o.nodes {
		a := addresses{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)]}
		ip := nextIP()
		for _, address := range []*string{&a.front, &a.ready, &a.directory, &a.control} {
			if *address, err = freeAddress(ip); err != nil {
				return nil, err
			}
		}
		s.nodes = append(s.nodes, a)
	}
	seeds := make([]string, 0, len(s.nodes))
	for _, a := range s.nodes[:min(len(s.nodes), 3)] {
		seeds = append(seeds, a.control)
	}
	for i, a := range s.nodes {
		path := filepath.Join(o.dir, fmt.Sprintf("node-%d.yaml", i+1))
		if err := os.WriteFile(path, []byte(settings(a, storeAddress, seeds)), 0o600); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// settings returns the text of a settings file, with the fields and bounds of the site pwani-slots.
func settings(a addresses, storeAddress string, seeds []string) string {
	ip, _, _ := net.SplitHostPort(a.front)
	return fmt.Sprintf(`node: %q
role: "node"
machineClass: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: %q
zones: {kilindini: %q, changamwe: %q, miritini: %q}
listen: {front: %q, ready: %q, control: %q, directory: %q}
portRange: [7720, 7735]
seeds: ["%s"]
bootstrap: true
countsAsLoss: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"]
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchupS: 4, drainMs: 2000, graceS: %d, lossSlackMs: 200, applyMs: 2000, rollbackSlackMs: 250, skewMs: 5000, strictRevoke: false, revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 52, recoveryS: 12, passMs: 120, retryAfterS: 10, ttl_max_s: 5}
platform: {addr: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 8.0, part_writes_per_s: 150, row_bytes: 65536, across: false, historyS: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_per_s: 80.0}
`, a.name, ip, a.zone, region, region, region, region, a.front, a.ready, a.control, a.directory, strings.Join(seeds, `", "`), beatMS, graceS, storeAddress)
}

// awaitNodes waits until all nodes say that they are ready.
func (s *site) awaitNodes() error {
	deadline := time.Now().Add(readyIn)
	client := &http.Client{Timeout: time.Second}
	for _, a := range s.nodes {
		for {
			resp, err := client.Get("http://" + a.ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", a.name, readyIn)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.r.printf("all %d nodes are ready", len(s.nodes))
	return nil
}

// listWorker writes a worker's entry to the store, as the worker does.
func (s *site) listWorker(id, service, address, zone string, slots int) {
	s.store.put("servers", id, map[string]any{
		"service": service, "addr": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1,
	})
}

// listenHTTP serves a handler on a free port and returns its address.
func listenHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// ipCount is the number of loopback addresses that were given to nodes.
var ipCount atomic.Uint32

// nextIP returns a loopback address for a node. Each has its own, so that no outgoing connection takes a
// port between the check that it is free and the node's start.
func nextIP() string {
	const perByte = 250
	n := int(ipCount.Add(1))
	return net.IPv4(127, byte(1+os.Getpid()%perByte), byte(1+os.Getpid()/perByte%perByte), byte(n)).String()
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
