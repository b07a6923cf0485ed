package elmseam

// Validation of settings.

import "fmt"

// checkSettings returns an error that names the first invalid setting.
func checkSettings(settings *Settings) error {
	if len(settings.Classes) == 0 {
		return fmt.Errorf("no class in Classes")
	}
	for i, class := range settings.Classes {
		switch {
		case class.Aim < 0:
			return fmt.Errorf("Classes[%d].Aim: negative time %v", i, class.Aim)
		case class.Deadline < 0:
			return fmt.Errorf("Classes[%d].Deadline: negative time %v", i, class.Deadline)
		}
	}
	switch {
	case settings.MaxRetryAfter < 0:
		return fmt.Errorf("MaxRetryAfter: negative time %v", settings.MaxRetryAfter)
	case settings.RetransmitInterval < 0:
		return fmt.Errorf("RetransmitInterval: negative time %v", settings.RetransmitInterval)
	case settings.ReleaseGuard < 0:
		return fmt.Errorf("ReleaseGuard: negative time %v", settings.ReleaseGuard)
	case settings.OverloadAfter < 0:
		return fmt.Errorf("OverloadAfter: negative time %v", settings.OverloadAfter)
	case settings.ColdRamp < 0:
		return fmt.Errorf("ColdRamp: negative time %v", settings.ColdRamp)
	case !(settings.ColdInitialShare >= 0 && settings.ColdInitialShare <= 1):
		return fmt.Errorf("ColdInitialShare: %v, not in [0, 1]", settings.ColdInitialShare)
	case !(settings.OverloadMultiple >= 0):
		return fmt.Errorf("OverloadMultiple: %v is negative", settings.OverloadMultiple)
	}
	for _, metric := range settings.ReportMetrics {
		if metric != LoadMetricUnknown {
			return nil
		}
	}
	if len(settings.ReportMetrics) > 0 {
		return fmt.Errorf("ReportMetrics: no known metric among %d", len(settings.ReportMetrics))
	}
	return nil
}
