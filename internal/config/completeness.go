package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"elmseam/internal/settings"
)

// A part that a configuration file lacks takes its default, which may permit what the running configuration forbids. A file that lacks
// a part of the running one is therefore incomplete, such as one that was truncated and closed again. Which entries a list has may change.

// optionalInNewEntries are keys that a new entry of a list may lack although all entries had them.
var optionalInNewEntries = []string{"aim-stretch"}

// checkComplete returns an error that names the first part of the running configuration that the new one lacks: a key at any depth, in the
// settings all entries of a list, or entries of a list that may not shrink. field is the path of both values; it is empty for the whole file.
func checkComplete(field string, running, current any) error {
	switch {
	case running == nil:
		return nil
	case current == nil:
		return fmt.Errorf("%s: missing", field)
	}
	switch running := running.(type) {
	case map[string]any:
		return checkObjectComplete(field, running, current)
	case []any:
		return checkListComplete(field, running, current)
	}
	return nil
}

// checkObjectComplete is checkComplete for an object.
func checkObjectComplete(field string, running map[string]any, current any) error {
	object, ok := current.(map[string]any)
	if !ok {
		return fmt.Errorf("%s: not an object", field)
	}
	for _, key := range slices.Sorted(maps.Keys(running)) {
		keyField := strings.TrimPrefix(field+"."+key, ".")
		if err := checkComplete(keyField, running[key], object[key]); err != nil {
			return err
		}
	}
	return nil
}

// checkListComplete is checkComplete for a list.
func checkListComplete(field string, running []any, current any) error {
	list, ok := current.([]any)
	switch {
	case !ok:
		return fmt.Errorf("%s: not a list", field)
	case len(running) > 0 && len(list) == 0 && inSettings(field):
		return fmt.Errorf("%s: empty", field)
	case len(list) < len(running) && inSettings(field) && !mayShrink(field, running):
		return fmt.Errorf("%s: %d entries, had %d", field, len(list), len(running))
	}
	for i, entry := range list {
		entryField := fmt.Sprintf("%s[%d]", field, i)
		if err := checkComplete(entryField, counterpart(running, i, entry), entry); err != nil {
			return err
		}
	}
	return nil
}

// inSettings says whether a field is in the settings. The lists beside them name servers and members of the tier, of which there may be none.
func inSettings(field string) bool { return strings.HasPrefix(field, "settings.") }

// mayShrink says whether a list of the settings may become shorter. Objects come and go, such as classes and tenants, and a list with an entry
// per class follows the classes. Lists of names are fixed: the meanings of their entries depend on each other.
func mayShrink(field string, running []any) bool {
	_, ofObjects := running[0].(map[string]any)
	return ofObjects || settings.IsPerClassList(field)
}

// counterpart returns the part of the running list that an entry of the new list has to have. For an object with a name it is the object of
// the same name or, if the name is new, the keys that all objects had; for any other object, the one at the same index. Other entries have no counterpart.
func counterpart(running []any, index int, entry any) any {
	object, ok := entry.(map[string]any)
	if !ok {
		return nil
	}
	name, named := object["name"].(string)
	if !named {
		if index < len(running) {
			return running[index]
		}
		return nil
	}
	for _, other := range running {
		if other, ok := other.(map[string]any); ok && other["name"] == name {
			return other
		}
	}
	return commonKeys(running)
}

// commonKeys returns an object with the keys that all objects of a list have, as far as new entries need them.
func commonKeys(list []any) any {
	var common map[string]any
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			return object[key] == nil || slices.Contains(optionalInNewEntries, key)
		})
	}
	if common == nil {
		return nil
	}
	return common
}
