package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the differences between two configurations, each as
// "- path: value" or "+ path: value". List entries are identified by their name,
// or by their index if they have none. A nil configuration is empty.
func Diff(older, newer *Config) []string {
	before, after := flatten(older), flatten(newer)
	var lines []string
	for _, l := range before {
		if _, ok := slices.BinarySearch(after, l); !ok {
			lines = append(lines, "- "+l)
		}
	}
	for _, l := range after {
		if _, ok := slices.BinarySearch(before, l); !ok {
			lines = append(lines, "+ "+l)
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return lines
}

func flatten(c *Config) []string {
	if c == nil {
		return nil
	}
	var lines []string
	flattenValue(reflect.ValueOf(c.f), "", &lines)
	slices.Sort(lines)
	return lines
}

func flattenValue(v reflect.Value, path string, lines *[]string) {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return
		}
		v = v.Elem()
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			key := v.Type().Field(i).Tag.Get("yaml")
			flattenValue(v.Field(i), strings.TrimPrefix(path+"."+key, "."), lines)
		}
	case reflect.Slice:
		for i := range v.Len() {
			flattenValue(v.Index(i), fmt.Sprintf("%s[%s]", path, entryName(v.Index(i), i)), lines)
		}
	default:
		*lines = append(*lines, fmt.Sprintf("%s: %v", path, v.Interface()))
	}
}

func entryName(v reflect.Value, i int) string {
	if v.Kind() == reflect.Struct {
		if name := v.FieldByName("Name"); name.IsValid() && name.String() != "" {
			return name.String()
		}
	}
	return fmt.Sprint(i)
}
