package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gradetiller.example/internal/explain"
)

type explainLogsCmd struct {
	Subject string        `arg:"" help:"Request ID, endpoint, node or version."`
	Files   []string      `arg:"" help:"Log files of all nodes; - stands for standard input."`
	Around  time.Duration `help:"Also show the state that the nodes logged up to this long before and after the lines about the subject." default:"1s"`
}

// Run implements the subcommand.
func (c *explainLogsCmd) Run(s *streams) error {
	var lines []explain.Line
	for _, path := range c.Files {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	timeline := explain.Timeline(lines, c.Subject, c.Around)
	if len(timeline) == 0 {
		return fmt.Errorf("none of the %d lines of %s mentions %s; pass the logs of all nodes", len(lines), strings.Join(c.Files, ", "), c.Subject)
	}
	for _, l := range timeline {
		fmt.Fprintln(s.out, l)
	}
	return nil
}

// stdinName is the file name that stands for standard input.
const stdinName = "-"

func readLog(path string) ([]explain.Line, error) {
	if path == stdinName {
		return explain.Read(os.Stdin, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	defer file.Close()
	return explain.Read(file, filepath.Base(path))
}
