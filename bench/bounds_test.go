package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bench/freshness"
	"github.com/rillreach/rillreach/bench/policy"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
	"github.com/rillreach/rillreach/retry"
	"github.com/rillreach/rillreach/route"
	"github.com/rillreach/rillreach/table"
)

// TestBounds measures every figure in bounds.yaml and fails if one exceeds its bound.
func TestBounds(t *testing.T) {
	data, err := os.ReadFile("bounds.yaml")
	require.NoError(t, err)
	var bounds map[string]float64
	require.NoError(t, yaml.Unmarshal(data, &bounds))
	kigali, oja := runExperiment(policy.Kigali()), runExperiment(policy.Oja())
	measured := map[string]float64{
		"allocations_per_route":              routeAllocs(),
		"bytes_per_resident_prompt":          bytesPerItem(2000, buildCacheEstimate),
		"bytes_per_row":                      bytesPerItem(2000, buildRows),
		"bytes_per_instance":                 bytesPerItem(2000, buildMembers),
		"bytes_per_lease_renewal":            leaseRenewalBytes(t),
		"pushes_per_node_and_change":         pushesPerNode(),
		"watchers":                           watcherCount(),
		"retries_per_failure_storm":          retryCount(),
		"kigali_calm_p95_share_of_best":      kigali.p95RatioToBest("calm", true),
		"kigali_calm_recomputed":             kigali.find("calm").RecomputedShare,
		"oja_calm_recomputed":                oja.find("calm").RecomputedShare,
		"oja_store_dead_recomputed":          oja.find("store dead").RecomputedShare,
		"kigali_slow_link_p95_share_of_best": kigali.p95RatioToBest("links at a tenth", false),
		"freshness_all_pushes_lost_seconds":  freshnessWithoutPushes(),
	}
	for name, bound := range bounds {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, measured, name)
			t.Logf("measured %g, bound %g", measured[name], bound)
			assert.LessOrEqual(t, measured[name], bound)
		})
	}
	assert.Len(t, measured, len(bounds))
}

// experimentResults are the results on the small workload of a deployment.
type experimentResults []policy.Result

func runExperiment(d policy.Deployment) experimentResults {
	e := policy.Experiment{
		Deployment: d.Small(), Seed: 1,
		Scenarios: []policy.Scenario{policy.Calm(), policy.StoreFailure(), policy.SlowLinks()},
		Policies:  append(policy.Baselines(), policy.Rillreach{}),
	}
	return e.Run()
}

// find returns the result of the production policy under a scenario.
func (e experimentResults) find(scenario string) policy.Result {
	for _, r := range e {
		if r.Scenario == scenario && r.Policy == (policy.Rillreach{}).Name() {
			return r
		}
	}
	return policy.Result{}
}

// p95RatioToBest returns the p95 of the production policy relative to the best baseline with or without stores.
func (e experimentResults) p95RatioToBest(scenario string, usesStores bool) float64 {
	best := math.Inf(1)
	for _, b := range policy.Baselines() {
		for _, r := range e {
			if r.Scenario == scenario && r.Policy == b.Name() && policy.UsesStores(b) == usesStores {
				best = min(best, r.P95.Seconds())
			}
		}
	}
	return e.find(scenario).P95.Seconds() / best
}

func routeAllocs() float64 {
	places := make([]uint64, 113)
	for i := range places {
		places[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	return testing.AllocsPerRun(100, func() {
		ranked := route.Rank(42, len(places), 4, func(i int) uint64 { return places[i] })
		var candidates [route.MaxRanked]route.Candidate
		route.Choose(route.Request{Tokens: 1000}, candidates[:ranked.Len()])
	})
}

// bytesPerItem returns the heap memory per item of the state that build creates.
func bytesPerItem(count int, build func(int) any) float64 {
	before := heapInUse()
	state := build(count)
	after := heapInUse()
	runtime.KeepAlive(state)
	return float64(after-before) / float64(count)
}

// heapInUse returns the size of the live heap after garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func buildCacheEstimate(count int) any {
	estimate := &keep.CacheEstimate{}
	for i := range count {
		estimate.Add(rillreach.BlockKey{byte(i), byte(i >> 8)}, "salt", 100)
	}
	return estimate
}

func buildRows(count int) any {
	rowTable := &table.Table{}
	replica := replicate.NewReplica()
	replica.AddKind(rillreach.KindRow, func(o rillreach.Object) { rowTable.Apply(o) }, nil)
	delta := replicate.Delta{Snapshot: true, To: replicate.Watermark{Kind: rillreach.KindRow, Version: uint64(count + 1)}}
	for i := range count {
		row := rillreach.Row{
			Format: rillreach.RowFormat, Account: rillreach.AccountID(fmt.Sprint("account-", i/2)), Model: rillreach.ModelID(fmt.Sprint("m", i)),
			Version: "v1", Weights: rillreach.Weights{Old: 100}, Objective: rillreach.ObjectiveRecompute,
			Credentials: []rillreach.Credential{{Salt: make([]byte, 16), Hash: make([]byte, 32)}},
		}
		value, _ := json.Marshal(row)
		delta.Objects = append(delta.Objects, rillreach.Object{Kind: rillreach.KindRow, Name: row.Name(), Version: uint64(i + 1), Value: value})
	}
	replica.Merge(delta)
	return []any{rowTable, replica}
}

func buildMembers(count int) any {
	members := membership.New()
	for i := range count {
		members.Upsert(rillreach.Instance{
			ID: rillreach.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: rillreach.RoleAgent, Incarnation: "1", Side: rillreach.SideOld,
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Model: rillreach.ModelID(fmt.Sprint("m", i%37)), Versions: []rillreach.VersionID{"v1"},
		})
	}
	return members
}

// leaseRenewalBytes returns the encoded size of a lease request and its response, per row.
func leaseRenewalBytes(t *testing.T) float64 {
	t.Helper()
	const count = 20
	var request fleet.LeaseRequest
	var response fleet.LeaseResponse
	for i := range count {
		amounts := limit.Amounts{2.5, 1000, 3}
		request.Rows = append(request.Rows, fleet.RowDemand{Row: fmt.Sprintf("account-%d/model-%d/v1", i, i), Demand: amounts})
		response.Granted = append(response.Granted, amounts)
	}
	encodedRequest, err := peer.Encode(request)
	require.NoError(t, err)
	encodedResponse, err := peer.Encode(response)
	require.NoError(t, err)
	return float64(len(encodedRequest)+len(encodedResponse)) / count
}

// makeNodes returns nodes in 17 zones, a sixth of them entries.
func makeNodes(count int) []replicate.Node {
	nodes := make([]replicate.Node, count)
	for i := range nodes {
		nodes[i] = replicate.Node{
			ID: rillreach.InstanceID(fmt.Sprintf("n%05d", i)), Zone: rillreach.ZoneID(fmt.Sprint("z", i%17)), Entry: i%6 == 0, Usable: true,
		}
	}
	return nodes
}

const plannedNodes = 1020

func pushesPerNode() float64 {
	total := 0
	for _, plan := range replicate.MakePlans(makeNodes(plannedNodes), 1) {
		total += len(plan.Children)
	}
	return float64(total) / plannedNodes
}

func watcherCount() float64 {
	count := 0
	for _, plan := range replicate.MakePlans(makeNodes(plannedNodes), 1) {
		if plan.IsWatcher {
			count++
		}
	}
	return float64(count)
}

// retryCount returns how many of 1,000 failed requests are retried, after 200 successful ones.
func retryCount() float64 {
	budget := &retry.Budget{}
	for range 200 {
		budget.RecordSuccess()
	}
	count := 0
	failure := retry.Failure{Refusal: rillreach.NotRun(rillreach.ReasonOverload, ""), Attempt: 1}
	for range 1000 {
		if budget.Decide(time.Time{}, failure) == retry.VerdictRetry {
			count++
		}
	}
	return float64(count)
}

// freshnessWithoutPushes returns how long a change takes to reach all processes if every push is lost.
func freshnessWithoutPushes() float64 {
	result := freshness.Run(freshness.Config{
		Entries: 140, Agents: 700, Zones: 17, PushLossRate: 1, WatermarksOnRequests: true, RequestsPerSecond: 1200, DigestInterval: 2 * time.Second, Seed: 1,
	})
	return result.All.Seconds()
}
