package deployment

import (
	"strconv"
	"strings"

	"github.com/rillreach/rillreach"
)

// Salt separates KV cache entries that must not be shared. Entries of another model, of other weights, of an isolated
// account or of other allowed regions have a different salt and are never found under this one.
type Salt struct {
	Model   rillreach.ModelID
	Weights WeightVersion
	// Account is set only for isolated accounts.
	Account rillreach.AccountID
	// Regions are the sorted regions in which the cache may be stored; empty if all are allowed.
	Regions []rillreach.RegionID
}

// String returns the form in which runners and cache stores receive the salt. It is empty if the version of the weights
// is unknown.
func (s Salt) String() string {
	if s.Weights == 0 {
		return ""
	}
	text := strconv.FormatUint(uint64(s.Weights), 10) + "/" + string(s.Model)
	if s.Account != "" || len(s.Regions) > 0 {
		text += "/" + string(s.Account)
	}
	if len(s.Regions) > 0 {
		text += "/" + joinRegions(s.Regions)
	}
	return text
}

// regionSeparator separates regions. It does not occur in region names.
const regionSeparator = ","

func joinRegions(regions []rillreach.RegionID) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = string(region)
	}
	return strings.Join(names, regionSeparator)
}

func splitRegions(text string) []rillreach.RegionID {
	if text == "" {
		return nil
	}
	var regions []rillreach.RegionID
	for region := range strings.SplitSeq(text, regionSeparator) {
		regions = append(regions, rillreach.RegionID(region))
	}
	return regions
}

// ParseSalt parses the result of Salt.String and reports whether the text is a valid salt.
func ParseSalt(text string) (Salt, bool) {
	version, rest, ok := strings.Cut(text, "/")
	n, err := strconv.ParseUint(version, 10, 64)
	if !ok || err != nil || n == 0 {
		return Salt{}, false
	}
	model, rest, _ := strings.Cut(rest, "/")
	account, regions, _ := strings.Cut(rest, "/")
	return Salt{
		Model: rillreach.ModelID(model), Weights: WeightVersion(n), Account: rillreach.AccountID(account), Regions: splitRegions(regions),
	}, model != ""
}
