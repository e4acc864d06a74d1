// This file names the parts of a job that are positions in a process's settings, as another process may have
// other settings.

package transport

import (
	"errors"
	"math"
	"slices"

	"weldmast/internal/dispatch"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

// unknownPosition is the position of a category that the sender's settings do not have. Versions that know no
// names refuse it.
const unknownPosition = math.MaxInt32

// jobNames holds the names of a job's category, its tenant and the only kind that may run it, as configured
// where the job was accepted. Empty: none.
type jobNames struct {
	Category, Tenant, Kind string
}

// nameAt returns the name at a position of the settings, or an empty string.
func nameAt(names []string, position int) string {
	if position < 0 || position >= len(names) {
		return ""
	}
	return names[position]
}

// namesOf returns the names of a job that is handed over.
func (t *Transport) namesOf(j *node.Job, m *message) *jobNames {
	if m.names != nil {
		return m.names
	}
	names, kind := t.options.Names, -1
	if j.AcceptedAs != nil {
		kind = j.AcceptedAs.Kind
	}
	return &jobNames{Category: nameAt(names.Categories, j.Category), Tenant: nameAt(names.Tenants, j.Tenant), Kind: nameAt(names.Kinds, kind)}
}

var errUnknownCategory = errors.New("an older version does not name the category, and there is none at its position")

// resolve replaces the job's positions by those that the names have here. A category that is not configured
// here has the position -1; its promises come with the job.
func (j *transferredJob) resolve(here settings.Names) error {
	if j.Names == nil || j.Job.AcceptedAs == nil {
		if j.Job.Category < 0 || j.Job.Category >= len(here.Categories) {
			return errUnknownCategory
		}
		return nil
	}
	j.Job.Category = slices.Index(here.Categories, j.Names.Category)
	j.Job.Tenant = slices.Index(here.Tenants, j.Names.Tenant)
	if j.Names.Kind == "" {
		return nil
	}
	if j.Job.AcceptedAs.Kind = slices.Index(here.Kinds, j.Names.Kind); j.Job.AcceptedAs.Kind < 0 {
		j.Job.AcceptedAs.Kind = dispatch.NoKind
	}
	return nil
}
