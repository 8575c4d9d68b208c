package docs_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
)

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestEverySettingIsOnThePageWithItsDefault(t *testing.T) {
	is := is.New(t)
	text := page(t, "OPERATIONS.md")
	for role, defaults := range map[string]any{
		"entry":   saddlesettings.DefaultEntry(),
		"agent":   saddlesettings.DefaultAgent(),
		"gateway": saddlesettings.DefaultGateway(),
		"control": saddlesettings.DefaultControl(),
	} {
		rows := settings("", reflect.ValueOf(defaults))
		is.True(len(rows) > 10)
		for _, row := range rows {
			if !strings.Contains(text, row) {
				t.Errorf("%s: no row %q", role, row)
			}
		}
	}
}

// settings returns the start of the row of each key of a struct.
func settings(prefix string, v reflect.Value) []string {
	var rows []string
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		key := prefix + field.Tag.Get("toml")
		_, text := value.Interface().(fmt.Stringer)
		switch {
		case field.Anonymous:
			rows = append(rows, settings(prefix, value)...)
		case value.Kind() == reflect.Struct:
			rows = append(rows, settings(key+".", value)...)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			rows = append(rows, settings(key+".", reflect.Zero(value.Type().Elem()))...)
		case !text && value.Kind() != reflect.Bool && value.IsZero():
			rows = append(rows, fmt.Sprintf("| `%s` | none |", key))
		default:
			rows = append(rows, fmt.Sprintf("| `%s` | %v |", key, value.Interface()))
		}
	}
	return rows
}

func TestEveryRefusalCodeIsOnThePage(t *testing.T) {
	source := page(t, "../code.go")
	listed(t, regexp.MustCompile(`Code = "([a-z_]+)"`), source)
}

func TestEveryCounterIsOnThePage(t *testing.T) {
	var source strings.Builder
	files, err := filepath.Glob("../internal/*/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		source.WriteString(page(t, f))
	}
	listed(t, regexp.MustCompile(`expvar\.New\w+\("([a-z_]+)"`), source.String())
}

// listed checks that the page has a row for each name that source has.
func listed(t *testing.T, names *regexp.Regexp, source string) {
	t.Helper()
	text := page(t, "OPERATIONS.md")
	found := names.FindAllStringSubmatch(source, -1)
	if len(found) < 20 {
		t.Fatalf("only %d names were found", len(found))
	}
	for _, m := range found {
		if !strings.Contains(text, "\n| `"+m[1]+"` | ") {
			t.Errorf("no row for %q", m[1])
		}
	}
}

// The commands that the pages show are known, with their flags.
func TestCommandsOnThePagesAreKnown(t *testing.T) {
	seen := 0
	for _, name := range []string{"OPERATIONS.md", "../README.md"} {
		for line := range strings.SplitSeq(page(t, name), "\n") {
			_, command, ok := strings.Cut(line, "saddlectl ")
			if !ok || !strings.HasPrefix(line, "    ") {
				continue
			}
			seen++
			var out bytes.Buffer
			args := append(strings.Fields(command), "-h")
			if code := saddlectl.Run(t.Context(), args, &out, &out); code != saddlectl.ExitOK {
				t.Errorf("%s: %q: exit %d: %s", name, line, code, out.String())
			}
		}
	}
	if seen < 20 {
		t.Fatalf("only %d commands were found", seen)
	}
}
