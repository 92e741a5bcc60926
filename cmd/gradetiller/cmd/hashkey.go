package cmd

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

type hashKeyCmd struct{}

// Run implements the subcommand.
func (c *hashKeyCmd) Run(s *streams) error {
	line, err := bufio.NewReader(s.in).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return fmt.Errorf("expected the key on standard input: %w", err)
	}
	sum := sha256.Sum256([]byte(key))
	fmt.Fprintln(s.out, hex.EncodeToString(sum[:]))
	return nil
}
