package deployment

import (
	"strconv"
	"strings"

	"github.com/rillreach/rillreach"
)

// Salt says whose KV cache a part belongs to: what was made for another model, by other weights, or behind an isolated
// account's wall has another salt, and so cannot be found.
type Salt struct {
	Model   rillreach.ModelID
	Weights WeightVersion
	// Account is set for an isolated account alone.
	Account rillreach.AccountID
	// Regions are those that the parts may be in, sorted; none where they may be in any.
	Regions []rillreach.RegionID
}

// String is the form in which runners and stores get the salt; it is empty where the weights are not known.
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

// regionSeparator stands between regions; no region's name holds it.
const regionSeparator = ","

func joinRegions(regions []rillreach.RegionID) string {
	texts := make([]string, len(regions))
	for i, region := range regions {
		texts[i] = string(region)
	}
	return strings.Join(texts, regionSeparator)
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

// ParseSalt reads a salt in that form; it reports whether the text is one.
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
