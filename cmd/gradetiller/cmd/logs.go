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
	Subject string        `arg:"" help:"Request id, endpoint, node or version."`
	Files   []string      `arg:"" help:"Log files of all nodes; - is standard input."`
	Around  time.Duration `help:"How long before and after the subject's lines what the nodes believed is told too." default:"1s"`
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
	story := explain.Timeline(lines, c.Subject, c.Around)
	if len(story) == 0 {
		return fmt.Errorf("none of %d lines of %s names %s; give the logs of all nodes", len(lines), strings.Join(c.Files, ", "), c.Subject)
	}
	for _, l := range story {
		fmt.Fprintln(s.out, l)
	}
	return nil
}

// standardInput stands for standard input among the log files.
const standardInput = "-"

func readLog(path string) ([]explain.Line, error) {
	if path == standardInput {
		return explain.Read(os.Stdin, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	defer file.Close()
	return explain.Read(file, filepath.Base(path))
}
