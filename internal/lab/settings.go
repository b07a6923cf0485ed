package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// DefaultSettings are the softswitches' settings in scenarios that name none: one class, four attempts, and the
// release guard, the drain grace and the cold-server budget of the deployment.
const DefaultSettings = `{"request-classes":[{"name":"voice","effect":"free","gain":1,"objective-us":1000000,"hard-limit-us":3000000}],
 "family-info":{"own-number":-1,"release-guard-us":200000,"retransmit-us":500000},
 "limits":{"max-attempts":4,"max-open":100,"connect-timeout-us":500000,"retry-after":true,"max-retry-after-us":2000000,"cancel":true},
 "load-report":{"columns":["spare","total","cut_by"],"via":"inline"},
 "obligations":{"cold-from":0.3,"ramp-time-us":14000000,"tip-multiple":2.5,"tip-after-us":1000000,"drain-grace-us":250000}}`

// parseRules reads the rules' limits from a settings object. A missing drain grace is 250 ms; the slacks are fixed.
func parseRules(settings []byte) (Rules, error) {
	var parsed struct {
		FamilyInfo struct {
			ReleaseGuard float64 `json:"release-guard-us"`
		} `json:"family-info"`
		Limits struct {
			MaxAttempts int `json:"max-attempts"`
		} `json:"limits"`
		Obligations struct {
			ColdFrom    float64 `json:"cold-from"`
			Ramp        float64 `json:"ramp-time-us"`
			TipMultiple float64 `json:"tip-multiple"`
			TipAfter    float64 `json:"tip-after-us"`
			DrainGrace  float64 `json:"drain-grace-us"`
		} `json:"obligations"`
	}
	if err := json.Unmarshal(settings, &parsed); err != nil {
		return Rules{}, fmt.Errorf("settings: %w", err)
	}
	microseconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Microsecond)) }
	rules := Rules{MaxAttempts: parsed.Limits.MaxAttempts, ReleaseGuard: microseconds(parsed.FamilyInfo.ReleaseGuard),
		DrainGrace:       microseconds(parsed.Obligations.DrainGrace),
		OverloadMultiple: parsed.Obligations.TipMultiple, OverloadAfter: microseconds(parsed.Obligations.TipAfter),
		ColdInitialShare: parsed.Obligations.ColdFrom, ColdRamp: microseconds(parsed.Obligations.Ramp),
		Slack: 50 * time.Millisecond, ColdSlack: 3}
	if rules.DrainGrace == 0 {
		rules.DrainGrace = 250 * time.Millisecond
	}
	if rules.MaxAttempts <= 0 || rules.OverloadMultiple <= 0 || rules.OverloadAfter <= 0 {
		return rules, errors.New("settings: limits.max-attempts and obligations.tip-multiple, tip-after-us must be positive")
	}
	return rules, nil
}

// memberSettings returns the settings object for one softswitch: the run's settings with the softswitch's own index
// ("me"), the size of the tier and whether datagrams between softswitches are on.
func (r *runner) memberSettings(index int) (json.RawMessage, error) {
	var settings map[string]any
	if err := json.Unmarshal(r.baseSettings, &settings); err != nil {
		return nil, err
	}
	settings["me"], settings["peers-total"] = index, r.scenario.Softswitches
	if limits, ok := settings["limits"].(map[string]any); ok {
		limits["peer-messages"] = r.scenario.PeersEnabled
	}
	return json.Marshal(settings)
}
