package config

import "time"

// The types in this file mirror the YAML format. Their fields are exported for
// the decoder only; other packages use the accessors of the public types.

type fileConfig struct {
	Format      int              `yaml:"format"`
	Name        string           `yaml:"name"`
	Locate      fileLocate       `yaml:"locate"`
	Policies    filePolicies     `yaml:"policies"`
	Accounts    []fileAccount    `yaml:"accounts"`
	Pools       []filePool       `yaml:"pools"`
	Pipelines   []filePipeline   `yaml:"pipelines"`
	Experiments []fileExperiment `yaml:"experiments"`
	Evacuated   []string         `yaml:"evacuated"`
}

type fileLocate struct {
	Keep      time.Duration `yaml:"keep"`
	Addresses int           `yaml:"addresses"`
}

type filePolicies struct {
	Order     string   `yaml:"order"`
	Place     string   `yaml:"place"`
	Retry     string   `yaml:"retry"`
	Admission string   `yaml:"admission"`
	Share     *float64 `yaml:"retry_share"`
	CostPrice float64  `yaml:"cost_price"`
}

type fileAccount struct {
	Name        string  `yaml:"name"`
	KeySHA256   string  `yaml:"key_sha256"`
	Share       int     `yaml:"share"`
	Rate        float64 `yaml:"rate"`
	Burst       float64 `yaml:"burst"`
	Concurrency int     `yaml:"concurrency"`
}

type filePool struct {
	Name      string         `yaml:"name"`
	Kind      string         `yaml:"kind"`
	Queue     int            `yaml:"queue"`
	Order     string         `yaml:"order"`
	Place     string         `yaml:"place"`
	Endpoints []fileEndpoint `yaml:"endpoints"`
}

type fileEndpoint struct {
	Name         string   `yaml:"name"`
	Address      string   `yaml:"address"`
	Domain       string   `yaml:"failure_domain"`
	Slots        int      `yaml:"slots"`
	Cost         float64  `yaml:"cost"`
	ChecksOrders bool     `yaml:"checks_orders"`
	Versions     []string `yaml:"versions"`
}

type filePipeline struct {
	Name      string        `yaml:"name"`
	Deadline  time.Duration `yaml:"deadline"`
	Objective string        `yaml:"objective"`
	Stages    []fileStage   `yaml:"stages"`
}

type fileStage struct {
	Name       string        `yaml:"name"`
	Pool       string        `yaml:"pool"`
	Versions   []fileVersion `yaml:"versions"`
	MaxTokens  int           `yaml:"max_tokens"`
	Repeatable *bool         `yaml:"repeatable"`
	Optional   bool          `yaml:"optional"`
}

type fileVersion struct {
	Name   string `yaml:"name"`
	Weight int    `yaml:"weight"`
}

type fileExperiment struct {
	Name     string    `yaml:"name"`
	Pipeline string    `yaml:"pipeline"`
	SplitBy  string    `yaml:"split_by"`
	Arms     []fileArm `yaml:"arms"`
}

type fileArm struct {
	Name  string `yaml:"name"`
	Share int    `yaml:"share"`
	Place string `yaml:"place"`
}
