package saddletemplate_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
)

// Errors in the text of a template are found when it is submitted, not when the
// first deployment is made from it.
func TestInvalidTemplateIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ body, want string }{
		"unknown key":              {"[deployment]\nmodles = []\n", "modles"},
		"unknown key of a grant":   {"[deployment]\nmodels = [{nam = \"m\"}]\n", "nam"},
		"unfinished placeholder":   {"[deployment]\nmodels = [{name = \"${model\"}]\n", "${model"},
		"placeholder with a dash":  {"[deployment]\nmodels = [{name = \"${the-model}\"}]\n", "${the-model}"},
		"undeclared parameter":     {"[deployment]\nmodels = [{name = \"${model}\"}]\n", "model"},
		"unknown parameter type":   {"[parameters.n]\ntype = \"float\"\n[deployment]\nmodels = []\n", "float"},
		"default outside of range": {"[parameters.n]\ntype = \"int\"\nmin = 2\ndefault = \"1\"\n[deployment]\nmodels = []\n", "at least 2"},
		"not TOML":                 {"[deployment\n", "line"},
		"nothing to deploy":        {"name = \"forms\"\n", "deployment"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := saddletemplate.Parse("forms", c.body)
			var templateErr *saddletemplate.Error
			is.True(errors.As(err, &templateErr))
			is.True(strings.Contains(err.Error(), c.want)) // the message names the error's cause
		})
	}
}

const parameterisedTemplate = `
[parameters.model]
type = "string"
required = true
[parameters.weight]
type = "int"
min = 1
max = 9
default = "2"
[parameters.keys]
type = "list"
default = ""
[deployment]
weight = "${weight}"
keys = "${keys}"
models = [{name = "${model}-x"}]
`

func TestParametersAreSubstitutedWithType(t *testing.T) {
	is := is.New(t)
	template, err := saddletemplate.Parse("forms", parameterisedTemplate)
	is.NoErr(err)
	d, err := template.Render("kgotla", map[string]string{"model": "${weight}"})
	is.NoErr(err)
	is.Equal(d.GetWeight(), uint32(2))
	is.Equal(d.GetGrants()[0].GetGroup(), "${weight}-x") // placeholders in a value are not substituted
}

func TestInvalidParameterIsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		parameters map[string]string
		want       string
	}{
		"missing":      {map[string]string{}, "model"},
		"unknown":      {map[string]string{"model": "m", "mod": "m"}, "mod"},
		"out of range": {map[string]string{"model": "m", "weight": "10"}, "weight"},
		"wrong type":   {map[string]string{"model": "m", "weight": "two"}, "weight"},
		"bad key":      {map[string]string{"model": "m", "keys": "abc"}, "keys"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			template, err := saddletemplate.Parse("forms", parameterisedTemplate)
			is.NoErr(err)
			_, err = template.Render("kgotla", c.parameters)
			is.True(err != nil && strings.Contains(err.Error(), c.want))
		})
	}
}

// Each replica checks a template by itself, and the refusal is part of the replicated state.
// So the same text must be refused with the same words every time.
func TestRefusalDoesNotDependOnOrder(t *testing.T) {
	for name, body := range map[string]string{
		"unknown keys":             "[deployment]\nmodles = []\nweihgt = 1\nzeal = 2\n",
		"unknown keys of a grant":  "[deployment]\nmodels = [{nam = \"m\", vresion = \"1\", kidn = \"k\"}]\n",
		"types of parameters":      "[parameters.a]\ntype = \"x\"\n[parameters.b]\ntype = \"y\"\n[parameters.c]\ntype = \"z\"\n[deployment]\nweight = 1\n",
		"undeclared placeholders":  "[deployment]\nmodels = [{name = \"${a}\", version = \"${b}\", group = \"${c}\"}]\n",
		"placeholders of two keys": "[deployment]\nweight = \"${a}\"\npriority = \"${b}\"\ntimeout = \"${c}\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, first := saddletemplate.Parse("forms", body)
			is.True(first != nil)
			for range 100 {
				_, err := saddletemplate.Parse("forms", body)
				is.Equal(err.Error(), first.Error())
			}
		})
	}
}
