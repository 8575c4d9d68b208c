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

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestEverySettingIsDocumentedWithItsDefault(t *testing.T) {
	is := is.New(t)
	text := readFile(t, "OPERATIONS.md")
	for role, defaults := range map[string]any{
		"entry":   saddlesettings.DefaultEntry(),
		"agent":   saddlesettings.DefaultAgent(),
		"gateway": saddlesettings.DefaultGateway(),
		"control": saddlesettings.DefaultControl(),
	} {
		rows := settingRows("", reflect.ValueOf(defaults))
		is.True(len(rows) > 10)
		for _, row := range rows {
			if !strings.Contains(text, row) {
				t.Errorf("%s: OPERATIONS.md has no row %q", role, row)
			}
		}
	}
}

// settingRows returns, for each key of a settings struct, the start of its table row: the
// key and its default value.
func settingRows(prefix string, v reflect.Value) []string {
	var rows []string
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		key := prefix + field.Tag.Get("toml")
		_, isStringer := value.Interface().(fmt.Stringer)
		switch {
		case field.Anonymous:
			rows = append(rows, settingRows(prefix, value)...)
		case value.Kind() == reflect.Struct:
			rows = append(rows, settingRows(key+".", value)...)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			rows = append(rows, settingRows(key+".", reflect.Zero(value.Type().Elem()))...)
		case !isStringer && value.Kind() != reflect.Bool && value.IsZero():
			rows = append(rows, fmt.Sprintf("| `%s` | none |", key))
		default:
			rows = append(rows, fmt.Sprintf("| `%s` | %v |", key, value.Interface()))
		}
	}
	return rows
}

func TestEveryRefusalCodeIsDocumented(t *testing.T) {
	source := readFile(t, "../code.go")
	requireRows(t, regexp.MustCompile(`Code = "([a-z_]+)"`), source)
}

func TestEveryCounterIsDocumented(t *testing.T) {
	var source strings.Builder
	files, err := filepath.Glob("../internal/*/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		source.WriteString(readFile(t, f))
	}
	requireRows(t, regexp.MustCompile(`expvar\.New\w+\("([a-z_]+)"`), source.String())
}

// requireRows checks that OPERATIONS.md has a table row for each name that the pattern
// finds in source.
func requireRows(t *testing.T, names *regexp.Regexp, source string) {
	t.Helper()
	text := readFile(t, "OPERATIONS.md")
	found := names.FindAllStringSubmatch(source, -1)
	if len(found) < 20 {
		t.Fatalf("found only %d names", len(found))
	}
	for _, m := range found {
		if !strings.Contains(text, "\n| `"+m[1]+"` | ") {
			t.Errorf("OPERATIONS.md has no row for %q", m[1])
		}
	}
}

// saddlectl knows every command in the documentation, with its flags. The flag -h is
// added so that no command runs.
func TestDocumentedCommandsAreKnown(t *testing.T) {
	seen := 0
	for _, name := range []string{"OPERATIONS.md", "../README.md"} {
		for line := range strings.SplitSeq(readFile(t, name), "\n") {
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
		t.Fatalf("found only %d commands", seen)
	}
}
