// This file owns the operator's own file: TOML with one table for each further subsystem, where an absent table means
// off. It must never change what ROUTER_CONFIG says.

package config

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"weldmast/internal/logs"
	"weldmast/internal/tomlfile"
)

// FileVariable names the operator's file where no argument does.
const OperatorFileVariable = "WELDMAST_FILE"

// Operator is the operator's file, checked and complete.
type OperatorFile struct {
	Log     Log     `toml:"log"`
	Profile Profile `toml:"profile"`
	Fleet   *Fleet  `toml:"fleet"` // nil: this process is of no fleet
}

// Profile has the program write a profile of itself.
type Profile struct {
	CPU string `toml:"cpu"` // path of the file; empty: none
}

// Log says how much is logged.
type Log struct {
	Level     string `toml:"level" oneof:"debug info warn error"` // of the least lines that are written
	Lines     int    `toml:"lines_per_second" min:"1" max:"100000"`
	LineBytes int    `toml:"line_bytes" min:"80" max:"65536"`
}

// Slog is the level as log/slog has it.
func (l Log) SlogLevel() (level slog.Level) {
	_ = level.UnmarshalText([]byte(l.Level)) // checked when it was read
	return level
}

// Bounds are those of the log's writer.
func (l Log) Limits() logs.Limits { return logs.Limits{Lines: l.Lines, LineBytes: l.LineBytes} }

// LoadOperator reads the file at the path, or that WELDMAST_FILE names if the path is empty; with neither, all is as
// with an empty file. An error lists every fault with line and key.
func LoadOperatorFile(path string, getenv func(string) string) (OperatorFile, error) {
	o := OperatorFile{Log: Log{Level: "info", Lines: logs.DefaultLimits.Lines, LineBytes: logs.DefaultLimits.LineBytes}}
	if path == "" {
		if path = getenv(OperatorFileVariable); path == "" {
			return o, nil
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	doc := tomlfile.Parse(path, text)
	doc.Decode(&o)
	if o.Fleet != nil {
		o.Fleet.check(doc.AddFault)
	}
	return o, doc.Err()
}

// Lines splits an error into what stands on lines of its own: each fault of a file, or the error itself.
func ErrorLines(err error) []string {
	var faults *tomlfile.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	var lines []string
	for _, f := range faults.All {
		lines = append(lines, (&tomlfile.Faults{File: faults.File, All: []tomlfile.Fault{f}}).Error())
	}
	return lines
}
