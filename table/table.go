package table

import (
	"slices"
	"strings"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const shardCount = 16

// Verdict is the result of applying an object to the table.
type Verdict string

// The verdicts on an object.
const (
	// VerdictApplied means that the object's row is in force now.
	VerdictApplied Verdict = "applied"
	// VerdictRemoved means that the row has been deleted.
	VerdictRemoved Verdict = "removed"
	// VerdictStale means that the object's version is not newer than the last one seen.
	VerdictStale Verdict = "stale"
	// VerdictRejected means that the object is not valid.
	VerdictRejected Verdict = "rejected"
)

// ApplyResult is the result of Apply for one object.
type ApplyResult struct {
	Name    string
	Version uint64
	Verdict Verdict
	// Err is the reason if the object was rejected.
	Err error
	// Before and After are the rows in force before and after the call. They are zero if there was no row.
	Before rillreach.Row
	After  rillreach.Row
}

// VersionedRow is a row in force and the version of its object.
type VersionedRow struct {
	Row     rillreach.Row
	Version uint64
}

// Table is a copy of the rows, sharded by account. Its zero value is empty and ready to use. It is safe for concurrent
// use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	accounts map[rillreach.AccountID]*account
}

type account struct {
	rows map[string]VersionedRow
	// lastVersions holds the last version seen of each object, including deleted and rejected ones.
	lastVersions map[string]uint64
	credentials  []rillreach.Credential
}

// Apply applies an object that holds a row to the table.
func (t *Table) Apply(object rillreach.Object) ApplyResult {
	result := ApplyResult{Name: object.Name, Version: object.Version}
	id, _, ok := strings.Cut(object.Name, "/")
	if !ok {
		result.Verdict = VerdictRejected
		result.Err = errNameMismatch
		return result
	}
	s := t.shardOf(rillreach.AccountID(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(rillreach.AccountID(id))
	result.Before = a.rows[object.Name].Row
	result.Verdict, result.Err = a.apply(object)
	result.After = a.rows[object.Name].Row
	return result
}

// Find returns the row that serves a model for an account. The model is given as name or name@version. If several rows
// match a name without version, Find returns the one that was edited last.
func (t *Table) Find(id rillreach.AccountID, model string) (VersionedRow, bool) {
	name, version, exact := strings.Cut(model, "@")
	var found VersionedRow
	t.readAccount(id, func(a *account) {
		for _, row := range a.rows {
			if string(row.Row.Model) != name || (exact && string(row.Row.Version) != version) {
				continue
			}
			if row.Version > found.Version {
				found = row
			}
		}
	})
	return found, found.Version > 0
}

// Get returns the row with the given name, account/model/version.
func (t *Table) Get(name string) (VersionedRow, bool) {
	id, _, _ := strings.Cut(name, "/")
	var found VersionedRow
	t.readAccount(rillreach.AccountID(id), func(a *account) { found = a.rows[name] })
	return found, found.Version > 0
}

// List returns the rows of an account, sorted by name.
func (t *Table) List(id rillreach.AccountID) []VersionedRow {
	var rows []VersionedRow
	t.readAccount(id, func(a *account) {
		for _, row := range a.rows {
			rows = append(rows, row)
		}
	})
	slices.SortFunc(rows, func(a, b VersionedRow) int { return strings.Compare(a.Row.Name(), b.Row.Name()) })
	return rows
}

// Credentials returns the credentials in all rows of an account. Callers must not modify the slice.
func (t *Table) Credentials(id rillreach.AccountID) []rillreach.Credential {
	var credentials []rillreach.Credential
	t.readAccount(id, func(a *account) { credentials = a.credentials })
	return credentials
}

func (t *Table) shardOf(id rillreach.AccountID) *shard {
	return &t.shards[hash.String(string(id))%shardCount]
}

func (t *Table) readAccount(id rillreach.AccountID, read func(*account)) {
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
		a = &account{rows: map[string]VersionedRow{}, lastVersions: map[string]uint64{}}
		s.accounts[id] = a
	}
	return a
}

func (a *account) apply(object rillreach.Object) (Verdict, error) {
	if object.Version <= a.lastVersions[object.Name] {
		return VerdictStale, nil
	}
	a.lastVersions[object.Name] = object.Version
	if object.Deleted {
		delete(a.rows, object.Name)
		a.rebuildCredentials()
		return VerdictRemoved, nil
	}
	row, err := rillreach.DecodeRow(object.Value)
	if err != nil {
		return VerdictRejected, err
	}
	if row.Name() != object.Name {
		return VerdictRejected, errNameMismatch
	}
	a.rows[object.Name] = VersionedRow{Row: row, Version: object.Version}
	a.rebuildCredentials()
	return VerdictApplied, nil
}

// rebuildCredentials replaces the list of credentials. It leaves the old slice unmodified, since readers may hold it.
func (a *account) rebuildCredentials() {
	var credentials []rillreach.Credential
	for _, row := range a.rows {
		credentials = append(credentials, row.Row.Credentials...)
	}
	a.credentials = credentials
}
