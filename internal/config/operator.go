// This file reads the operator's file: TOML with a table for each optional subsystem. A subsystem without a
// table is off. The operator's file must never change what the file of ROUTER_CONFIG says.

package config

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"weldmast/internal/logs"
	"weldmast/internal/tomlfile"
)

// OperatorFileVariable is the environment variable that names the operator's file if no argument does.
const OperatorFileVariable = "WELDMAST_FILE"

// OperatorFile is the operator's file, checked and with all defaults filled in.
type OperatorFile struct {
	Log     Log     `toml:"log"`
	Profile Profile `toml:"profile"`
	Fleet   *Fleet  `toml:"fleet"` // nil: this process belongs to no fleet
}

// Profile configures profiles that the program writes of itself.
type Profile struct {
	CPU string `toml:"cpu"` // path of the CPU profile; empty: none
}

// Log configures logging.
type Log struct {
	Level     string `toml:"level" oneof:"debug info warn error"` // lowest level that is written
	Lines     int    `toml:"lines_per_second" min:"1" max:"100000"`
	LineBytes int    `toml:"line_bytes" min:"80" max:"65536"`
}

// SlogLevel returns the level as a slog.Level.
func (l Log) SlogLevel() (level slog.Level) {
	_ = level.UnmarshalText([]byte(l.Level)) // valid: decoding checked it
	return level
}

// Limits returns the limits for the log's writer.
func (l Log) Limits() logs.Limits { return logs.Limits{Lines: l.Lines, LineBytes: l.LineBytes} }

// LoadOperatorFile reads the file at path, or the one that WELDMAST_FILE names if path is empty; with
// neither, the result is that of an empty file. An error lists every fault with its line and key.
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

// ErrorLines returns the lines in which an error is printed: one for each fault of a file, or the error
// itself.
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
