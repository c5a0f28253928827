// Package bulletin defines the messages in which an agent reports the state of its runner, and of the cache stores that
// it manages, to the entries.
package bulletin

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/poison"
)

// FetchLease is how long after a bulletin's Clock a fetch of cached parts from a store in that bulletin must have
// ended. After the agent that manages the store has listed a salt as expiring, it waits at least that long before it
// frees the parts.
const FetchLease = 1500 * time.Millisecond

// FollowRequest subscribes a process, the follower, to the bulletins of an agent.
type FollowRequest struct {
	// Name identifies the follower.
	Name rillreach.InstanceID `cbor:"1,keyasint"`
	// Zone is the follower's availability zone; empty if unknown.
	Zone rillreach.ZoneID `cbor:"2,keyasint,omitempty"`
	// LoadOnly requests less frequent bulletins without the contents of the runner's KV cache.
	LoadOnly bool `cbor:"3,keyasint,omitempty"`
	// Relay means that the follower passes the bulletins on to others.
	Relay bool `cbor:"4,keyasint,omitempty"`
}

// Check reports whether the request is invalid.
func (f FollowRequest) Check() error {
	if f.Name == "" {
		return errors.New("follower has no name")
	}
	return nil
}

// Bulletin is a status message of an agent. Some fields are sent only when they have changed since the previous
// bulletin: DeltaFrom removes them before sending, and FillFrom restores them on receipt.
type Bulletin struct {
	// Runner and Generation identify the run of the runner that the agent reports on. A delta omits both or neither.
	Runner     rillreach.InstanceID `cbor:"1,keyasint,omitempty"`
	Generation rillreach.Generation `cbor:"8,keyasint,omitempty"`
	// Clock is the creation time of the bulletin by the clock that all runners share, in milliseconds.
	// It is zero if the agent does not know that clock.
	Clock int64 `cbor:"2,keyasint"`
	// Load is the load of the runner.
	Load Load `cbor:"3,keyasint"`
	// CacheUpdates report changes of the KV cache contents of the runner and the managed stores.
	CacheUpdates []CacheUpdate `cbor:"4,keyasint,omitempty"`
	// DesiredWeights are the desired weights of each model, as far as the agent knows.
	DesiredWeights []deployment.DesiredWeights `cbor:"5,keyasint,omitempty"`
	// WeightsFirstSeen are the times at which operators requested the desired versions and their predecessors.
	WeightsFirstSeen []WeightsFirstSeen `cbor:"7,keyasint,omitempty"`
	// Followers is the number of entries that follow the agent.
	Followers int `cbor:"6,keyasint,omitempty"`
	// Crashes are the crashes that the follower has not received yet.
	Crashes []poison.Crash `cbor:"10,keyasint,omitempty"`
	// Permits is the number of requests that the follower may send to the runner while the runner is cold. They may be
	// used within permit.Validity after Clock.
	Permits int `cbor:"11,keyasint,omitempty"`
	// Config is the configuration that the agent currently uses; nil if it has none.
	Config *deployment.ConfigVersion `cbor:"13,keyasint,omitempty"`
	// Quotas are the follower's shares of the rate limits that runners have set.
	Quotas []Quota `cbor:"12,keyasint,omitempty"`
}

// Run returns the run that the bulletin reports on.
func (b *Bulletin) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: b.Runner, Generation: b.Generation}
}

// DeltaFrom returns the bulletin without the fields that are unchanged since the previous one.
func (b Bulletin) DeltaFrom(previous *Bulletin) Bulletin {
	if b.Run() == previous.Run() {
		b.Runner, b.Generation = "", 0
	}
	if slices.Equal(b.DesiredWeights, previous.DesiredWeights) {
		b.DesiredWeights = nil
	}
	if slices.Equal(b.WeightsFirstSeen, previous.WeightsFirstSeen) {
		b.WeightsFirstSeen = nil
	}
	if b.Followers == previous.Followers {
		b.Followers = 0
	}
	if maps.Equal(b.Load.Weights, previous.Load.Weights) {
		b.Load.Weights = nil
	}
	if b.Config != nil && previous.Config != nil && *b.Config == *previous.Config {
		b.Config = nil
	}
	return b
}

// FillFrom restores the fields that DeltaFrom has removed. It fails if neither bulletin identifies the runner.
func (b *Bulletin) FillFrom(previous *Bulletin) error {
	if b.Runner == "" {
		b.Runner, b.Generation = previous.Runner, previous.Generation
	}
	if b.DesiredWeights == nil {
		b.DesiredWeights = previous.DesiredWeights
	}
	if b.WeightsFirstSeen == nil {
		b.WeightsFirstSeen = previous.WeightsFirstSeen
	}
	if b.Followers == 0 {
		b.Followers = previous.Followers
	}
	if b.Load.Weights == nil {
		b.Load.Weights = previous.Load.Weights
	}
	if b.Config == nil {
		b.Config = previous.Config
	}
	if b.Runner == "" {
		return errors.New("bulletin does not identify its runner")
	}
	return nil
}

// WeightsFirstSeen is the time at which operators requested a version of a model's weights, as far as the agent knows.
// An agent cannot determine times before its own start.
type WeightsFirstSeen struct {
	Model   rillreach.ModelID        `cbor:"1,keyasint"`
	Version deployment.WeightVersion `cbor:"2,keyasint"`
	// At is a time by the clock that all runners share, in milliseconds.
	At int64 `cbor:"3,keyasint"`
}

// Load is the load and the state of a runner.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// UsedTokens is how much of the KV cache is in use and cannot be evicted.
	UsedTokens int `cbor:"3,keyasint,omitempty"`
	// LoadingWeights reports that the runner loads weights, or is about to, and accepts no requests.
	LoadingWeights bool `cbor:"4,keyasint,omitempty"`
	Leaving        bool `cbor:"5,keyasint,omitempty"`
	// AwaitingFirstEvent is the number of running requests that have not produced an event yet.
	AwaitingFirstEvent int `cbor:"7,keyasint,omitempty"`
	// Unresponsive reports that the runner does not answer its agent.
	Unresponsive bool `cbor:"8,keyasint,omitempty"`
	// WeightLoadAt is the time for which the runner's next load of weights is scheduled, by the clock that all runners
	// share, in milliseconds. It is zero if no load is scheduled.
	WeightLoadAt int64 `cbor:"9,keyasint,omitempty"`
	// Weights maps each loaded model to the version of its weights.
	Weights map[rillreach.ModelID]deployment.WeightVersion `cbor:"6,keyasint,omitempty"`
}

// CacheUpdate reports changes of the KV cache contents of a runner or a store.
type CacheUpdate struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	// Store distinguishes a cache store from a runner.
	Store bool `cbor:"2,keyasint,omitempty"`
	// Unreachable reports that the runner or store does not answer.
	Unreachable bool `cbor:"3,keyasint,omitempty"`
	// Snapshot reports that the changes replace all earlier contents.
	Snapshot bool               `cbor:"4,keyasint,omitempty"`
	Changes  cacheindex.Changes `cbor:"5,keyasint,omitempty"`
	// ExpiringSalts are the salts whose parts are about to be freed and must no longer be fetched.
	ExpiringSalts []string `cbor:"6,keyasint,omitempty"`
}

// Check reports whether the message is invalid.
func (b Bulletin) Check() error {
	if b.Load.WeightLoadAt < 0 {
		return errors.Newf("bulletin has a negative time of the next weight load: %d ms", b.Load.WeightLoadAt)
	}
	if b.Permits < 0 {
		return errors.Newf("bulletin has a negative number of permits: %d", b.Permits)
	}
	if err := checkEach(b.Quotas); err != nil {
		return err
	}
	if err := checkEach(b.Crashes); err != nil {
		return err
	}
	return checkEach(b.CacheUpdates)
}

// Check reports whether the update is invalid.
func (u *CacheUpdate) Check() error {
	if !u.Address.IsValid() {
		return errors.New("bulletin has a cache update without an address")
	}
	return checkEach(u.Changes)
}

// checkEach returns the error of the first invalid part of a message.
func checkEach[T any, P interface {
	*T
	Check() error
}](parts []T) error {
	for i := range parts {
		if err := P(&parts[i]).Check(); err != nil {
			return err
		}
	}
	return nil
}
