//go:build review

package play

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// cachedPart is a part of a prompt that an engine keeps under a salt.
type cachedPart struct{ engine, salt, part string }

// madeBy is the request that has made a part, and its tenant.
type madeBy struct{ request, tenant string }

// cacheUse is the use of a part by a request.
type cacheUse struct {
	at              time.Time
	part            cachedPart
	made            madeBy
	request, tenant string
}

// cacheLog keeps the KV cache of all engines, which drop nothing, and records what uses it.
type cacheLog struct {
	world *world

	mu   sync.Mutex
	made map[cachedPart]madeBy
	uses []cacheUse
}

// run has a request use the parts that are there, and make the others.
func (c *cacheLog) run(engine string, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, tenant := site.RequestID(r), r.Header.Get("X-Rillreach-Tenant")
	prefix := true
	for _, part := range site.PromptParts(r) {
		key := cachedPart{engine, r.Header.Get("Cache-Salt"), part}
		made, ok := c.made[key]
		if prefix = prefix && ok; !prefix {
			c.made[key] = madeBy{id, tenant}
			c.world.record("%s: request %s of tenant %s makes part %s under salt %q", engine, id, tenant, part, key.salt)
			continue
		}
		c.uses = append(c.uses, cacheUse{time.Now(), key, made, id, tenant})
		c.world.record("%s: request %s of tenant %s uses part %s under salt %q, which request %s of tenant %s has made", engine, id, tenant, part, key.salt, made.request, made.tenant)
	}
}

// foreign returns the uses after a time in which one tenant used what the other had made, and one of them is the isolated one.
func (c *cacheLog) foreign(isolated string, after time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for _, u := range c.uses {
		if u.at.Before(after) || u.tenant == u.made.tenant || u.tenant != isolated && u.made.tenant != isolated {
			continue
		}
		broken = append(broken, fmt.Sprintf("WALL: request %s of tenant %s used part %s at %s, which request %s of tenant %s has made, %s after tenant %s had to be isolated",
			u.request, u.tenant, u.part.part, u.part.engine, u.made.request, u.made.tenant, u.at.Sub(after).Round(time.Millisecond), isolated))
	}
	return broken
}
