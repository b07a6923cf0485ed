package settings

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"elmseam"
)

// validSettings are the settings of a deployment with tenants, whose load reports contain the wait and no hold-back
// share.
const validSettings = `{"request-classes":[{"name":"view","effect":"free","gain":1,"objective-us":1500000,"hard-limit-us":9000000},
  {"name":"sign","effect":"free","gain":3,"objective-us":1500000,"hard-limit-us":9000000}],
 "family-info":{"own-number":-1,"release-guard-us":300000,"retransmit-us":800000},
 "limits":{"max-attempts":5,"max-open":100,"connect-timeout-us":500000,"retry-after":true,"max-retry-after-us":2000000,"cancel":true},
 "load-report":{"columns":["spare","total","recent_ms"],"via":"inline"},"obligations":{"cold-from":0.3,"ramp-time-us":14000000,
 "tip-multiple":3,"tip-after-us":1000000},"over-share-worth":0.1,
 "tenants":[{"name":"a","share":0.54,"allowance-per-s":40},{"name":"b","share":0.46,"allowance-per-s":20}]}`

// Each change makes the valid settings invalid; the error must be one line that starts with the name of the field.
func TestValidateNamesInvalidField(t *testing.T) {
	if err := Validate([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string][2]string{
		"request-classes:":                       {validSettings[strings.Index(validSettings, "[{"):strings.Index(validSettings, ",\n \"family-info")], "[]"},
		"request-classes[1].name:":               {`"sign"`, `"view"`},
		"load-report.columns[2]:":                {`"recent_ms"`, `"spare"`},
		"tenants[1].share:":                      {"0.46", "0.6"},
		"tenants[0].share:":                      {"0.54", "-0.1"},
		"tenants[1].name:":                       {`"b"`, `"a"`},
		"tenants[0].name:":                       {`"a"`, `""`},
		"tenants[0].allowance-per-s:":            {":40", ":-40"},
		"over-share-worth:":                      {"0.1,", "10,"},
		"limits.max-attempts:":                   {`"max-attempts":5`, `"max-attempts":0`},
		"request-classes[1].hard-":               {`3,"objective-us":1500000,"hard-limit-us":9000000`, `3,"objective-us":1500000,"hard-limit-us":0`},
		"obligations.tip-after-us:":              {`,"tip-after-us":1000000`, ""},
		"family-info.retransmit-us:":             {`800000`, "null"},
		"request-classes[1].hard-limit-us: json": {`3,"objective-us":1500000,"hard-limit-us":9000000`, `3,"objective-us":1500000,"hard-limit-us":"x"`},
		"limits.max-attempts: json":              {`"max-attempts":5`, `"max-attempts":"5"`},
	} {
		invalid := strings.Replace(validSettings, change[0], change[1], 1)
		err := Validate([]byte(invalid))
		if invalid == validSettings || err == nil || !strings.HasPrefix(err.Error(), "settings."+field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Load reports without the hold-back share (column "cut_by") still contain values that the decision module uses, whatever
// the other columns are.
func TestDecodeWithoutHoldBackShare(t *testing.T) {
	decoded, err := Decode([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if want := []elmseam.LoadMetric{elmseam.LoadMetricFreeLines, elmseam.LoadMetricTotalLines, elmseam.LoadMetricWait}; !slices.Equal(decoded.ReportMetrics, want) {
		t.Errorf("report %v, want %v", decoded.ReportMetrics, want)
	}
	if got, want := fmt.Sprint(decoded.Tenants, decoded.OverShareWorth), "[{a 40} {b 20}] 0.1"; got != want {
		t.Errorf("tenants %s, want %s", got, want)
	}
}
