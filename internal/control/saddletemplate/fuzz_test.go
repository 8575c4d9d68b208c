package saddletemplate_test

import (
	"errors"
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
)

// For any template text and any parameter, all errors of Parse and Render are of
// type *Error. Rendering twice must give the same deployment, because each
// replica renders on its own.
func FuzzRender(f *testing.F) {
	const body = "[parameters.w]\ntype = \"int\"\n[deployment]\nweight = \"${w}\"\nmodels = [{ name = \"m-${w}\" }]\n"
	f.Add(body, "w", "3")
	f.Add(body, "w", "${w}")
	f.Add("[deployment]\nkeys = [\"zz\"]\nmodels = 3\n", "", "")
	f.Add("[parameters.k]\ntype = \"list\"\n[deployment]\nkeys = \"${k}\"\nmodels = [{ name = \"m\" }]\n", "k", ",\x00,\"")
	f.Fuzz(func(t *testing.T, text, name, value string) {
		parsed, err := saddletemplate.Parse("meet", text)
		if err != nil {
			requireTemplateError(t, err)
			return
		}
		parameters := map[string]string{name: value}
		first, err := parsed.Render("volos", parameters)
		if err != nil {
			requireTemplateError(t, err)
			return
		}
		second, err := parsed.Render("volos", parameters)
		if err != nil || first.String() != second.String() {
			t.Fatalf("second rendering differs: %v\n%v\n%v", err, first, second)
		}
	})
}

func requireTemplateError(t *testing.T, err error) {
	t.Helper()
	var templateErr *saddletemplate.Error
	if !errors.As(err, &templateErr) {
		t.Fatalf("error is not a *saddletemplate.Error: %v", err)
	}
}
