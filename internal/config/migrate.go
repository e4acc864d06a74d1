// This file reads and writes the configurations that the migrate command converts. It must never change an
// existing file, nor leave an incomplete one.

package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"weldmast/internal/migrate"
)

// PlanMigration converts the configuration in the file at path and returns the new text with the report,
// without writing a file. fault is what the program's own check finds wrong with the new text.
func PlanMigration(path string, values migrate.OperatorValues) (r migrate.Result, fault error, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return r, nil, fmt.Errorf("old configuration: %w", err)
	}
	if r, err = migrate.Plan(text, values); err != nil {
		return r, nil, fmt.Errorf("%s: %w", path, err)
	}
	_, fault = parse(r.Text, nil)
	return r, fault, nil
}

// WriteNewFile writes a file completely or not at all, and never over an existing one.
func WriteNewFile(path, old string, text []byte) error {
	oldInfo, err := os.Stat(old)
	if err != nil {
		return fmt.Errorf("old configuration: %w", err)
	}
	if newInfo, err := os.Stat(path); err == nil && os.SameFile(oldInfo, newInfo) {
		return fmt.Errorf("%s: is the old configuration itself", path)
	}
	if _, err := os.Lstat(path); err == nil {
		return fmt.Errorf("%s: exists already", path)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".weldmast-migrate-*")
	if err != nil {
		return fmt.Errorf("new configuration: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(oldInfo.Mode().Perm()), f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("new configuration: %w", err)
	}
	if err := os.Link(f.Name(), path); err != nil { // fails if another process has created the file meanwhile
		return fmt.Errorf("new configuration: %w", err)
	}
	return nil
}
