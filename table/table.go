package table

import (
	"slices"
	"strings"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const shardCount = 16

// Verdict says what became of an object that was offered to the table.
type Verdict string

// The verdicts on an object.
const (
	VerdictApplied  Verdict = "applied"
	VerdictRemoved  Verdict = "removed"
	VerdictStale    Verdict = "stale"
	VerdictRejected Verdict = "rejected"
)

// ApplyResult is the decision on one object with its cause.
type ApplyResult struct {
	Name    string
	Version uint64
	Verdict Verdict
	Err     error
	// Before and After are the rows in force before and after a change; a row that did not exist is zero.
	Before rillreach.Row
	After  rillreach.Row
}

// VersionedRow is a row in force with the version of its object.
type VersionedRow struct {
	Row     rillreach.Row
	Version uint64
}

// Table is a copy of the rows; its zero value is empty and ready.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	accounts map[rillreach.AccountID]*account
}

type account struct {
	lines       map[string]VersionedRow
	seen        map[string]uint64
	credentials []rillreach.Credential
}

// Apply takes one object of the kind rows into the table.
func (t *Table) Apply(object rillreach.Object) ApplyResult {
	result := ApplyResult{Name: object.Name, Version: object.Version}
	id, _, ok := strings.Cut(object.Name, "/")
	if !ok {
		result.Verdict = VerdictRejected
		result.Err = errBadName
		return result
	}
	s := t.shardOf(rillreach.AccountID(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(rillreach.AccountID(id))
	result.Before = a.lines[object.Name].Row
	result.Verdict, result.Err = a.apply(object)
	result.After = a.lines[object.Name].Row
	return result
}

// Find returns the line that serves a model for an account. The model is given as name or as name@version; a bare
// name means the line that was edited last.
func (t *Table) Find(id rillreach.AccountID, model string) (VersionedRow, bool) {
	name, version, exact := strings.Cut(model, "@")
	var found VersionedRow
	t.view(id, func(a *account) {
		for _, line := range a.lines {
			if string(line.Row.Model) != name || (exact && string(line.Row.Version) != version) {
				continue
			}
			if line.Version > found.Version {
				found = line
			}
		}
	})
	return found, found.Version > 0
}

// Get returns the line with a name.
func (t *Table) Get(name string) (VersionedRow, bool) {
	id, _, _ := strings.Cut(name, "/")
	var found VersionedRow
	t.view(rillreach.AccountID(id), func(a *account) { found = a.lines[name] })
	return found, found.Version > 0
}

// List returns the lines of an account in the order of their names.
func (t *Table) List(id rillreach.AccountID) []VersionedRow {
	var lines []VersionedRow
	t.view(id, func(a *account) {
		for _, line := range a.lines {
			lines = append(lines, line)
		}
	})
	slices.SortFunc(lines, func(a, b VersionedRow) int { return strings.Compare(a.Row.Name(), b.Row.Name()) })
	return lines
}

// Credentials returns the credentials of all lines of an account.
func (t *Table) Credentials(id rillreach.AccountID) []rillreach.Credential {
	var credentials []rillreach.Credential
	t.view(id, func(a *account) { credentials = a.credentials })
	return credentials
}

func (t *Table) shardOf(id rillreach.AccountID) *shard {
	return &t.shards[hash.String(string(id))%shardCount]
}

func (t *Table) view(id rillreach.AccountID, read func(*account)) {
	s := t.shardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if a := s.accounts[id]; a != nil {
		read(a)
	}
}

func (s *shard) account(id rillreach.AccountID) *account {
	if s.accounts == nil {
		s.accounts = map[rillreach.AccountID]*account{}
	}
	a := s.accounts[id]
	if a == nil {
		a = &account{lines: map[string]VersionedRow{}, seen: map[string]uint64{}}
		s.accounts[id] = a
	}
	return a
}

func (a *account) apply(object rillreach.Object) (Verdict, error) {
	if object.Version <= a.seen[object.Name] {
		return VerdictStale, nil
	}
	a.seen[object.Name] = object.Version
	if object.Deleted {
		delete(a.lines, object.Name)
		a.collect()
		return VerdictRemoved, nil
	}
	row, err := rillreach.DecodeRow(object.Value)
	if err != nil {
		return VerdictRejected, err
	}
	if row.Name() != object.Name {
		return VerdictRejected, errBadName
	}
	a.lines[object.Name] = VersionedRow{Row: row, Version: object.Version}
	a.collect()
	return VerdictApplied, nil
}

// collect gathers the credentials anew; the old slice stays as it is for its readers.
func (a *account) collect() {
	var credentials []rillreach.Credential
	for _, line := range a.lines {
		credentials = append(credentials, line.Row.Credentials...)
	}
	a.credentials = credentials
}
