package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// perClassSection is the object that contains the lists with an entry per class.
const perClassSection = "family-info"

// perClassLists are the keys of the lists with an entry per class, in the order of request-classes.
var perClassLists = []string{"class-cells", "class-hold-us", "widths"}

// IsPerClassList says whether a field of the configuration file is a list with an entry per class.
func IsPerClassList(field string) bool {
	key, found := strings.CutPrefix(field, "settings."+perClassSection+".")
	return found && slices.Contains(perClassLists, key)
}

// checkPerClassLists returns an error if a list with an entry per class does not have one for each class. The entries would otherwise count for
// other classes than they were written for, and a class without an entry would have the default: for class-cells, any cell.
func checkPerClassLists(section json.RawMessage, classCount int) error {
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(section, &lists); err != nil {
		return fmt.Errorf("settings.%s: %w", perClassSection, err)
	}
	for _, key := range perClassLists {
		text, found := lists[key]
		if !found {
			continue
		}
		field := "settings." + perClassSection + "." + key
		var entries []json.RawMessage
		if err := json.Unmarshal(text, &entries); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
		if len(entries) > 0 && len(entries) != classCount {
			return fmt.Errorf("%s: %d entries for %d classes", field, len(entries), classCount)
		}
		for i, entry := range entries {
			if string(entry) == "null" {
				return fmt.Errorf("%s[%d]: missing", field, i)
			}
		}
	}
	return nil
}

// CheckCellsKept returns an error if a class that was restricted to some cells has none any more, which would permit all cells, or if a new
// class has none although all running classes have.
func CheckCellsKept(running, current Deployment) error {
	runningCells := make(map[string][]int)
	allRestricted := true
	for _, class := range running.Classes {
		if !class.Removed {
			runningCells[class.Name] = class.Cells
			allRestricted = allRestricted && len(class.Cells) > 0
		}
	}
	for i, class := range current.Classes {
		cells, known := runningCells[class.Name]
		if len(class.Cells) == 0 && (len(cells) > 0 || !known && allRestricted) {
			return fmt.Errorf("settings.%s.class-cells[%d]: empty", perClassSection, i)
		}
	}
	return nil
}
