package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
)

// sources are the type declarations of some packages, by package and name,
// such as "settings.Gateway".
type sources map[string]ast.Expr

// readSources parses the packages in folders below root. The name of a
// package is the base name of its folder.
func readSources(root string, folders ...string) (sources, error) {
	found := sources{}
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, file := range files {
			if err := found.read(file, filepath.Base(folder)); err != nil {
				return nil, err
			}
		}
	}
	return found, nil
}

// read parses one file, unless it is a test.
func (s sources) read(path, pkg string) error {
	if strings.HasSuffix(path, "_test.go") {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ParseComments)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, declaration := range file.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range general.Specs {
			if t, ok := spec.(*ast.TypeSpec); ok {
				s[pkg+"."+t.Name.Name] = t.Type
			}
		}
	}
	return nil
}

// field is a field of a settings or configuration file.
type field struct {
	path string // such as contracts[].keys[].label
	kind string // such as "list of strings"
	doc  string // one line
}

// fields returns the fields of a struct and of those below it, in order.
func (s sources) fields(name, prefix string) ([]field, error) {
	declared, ok := s[name].(*ast.StructType)
	if !ok {
		return nil, trace.NotFound("no struct %s", name)
	}
	pkg, _, _ := strings.Cut(name, ".")
	jsonNames := jsonNamesOf(declared)
	var found []field
	doc := ""
	for _, f := range declared.Fields.List {
		if text := f.Doc.Text(); text != "" {
			doc = text
		}
		below, err := s.field(pkg, prefix, f, plain(doc, jsonNames))
		if err != nil {
			return nil, err
		}
		found = append(found, below...)
	}
	return found, nil
}

// field returns one field of a struct with the fields below it.
func (s sources) field(pkg, prefix string, f *ast.Field, doc string) ([]field, error) {
	named, list := s.element(pkg, f.Type)
	if len(f.Names) == 0 {
		return s.fields(named, prefix) // embedded: its fields stand here
	}
	name := jsonName(f)
	if name == "" {
		return nil, nil
	}
	path := prefix + name
	_, isStruct := s[named].(*ast.StructType)
	if !isStruct {
		return []field{{path, kindOf(s.basic(named), list), doc}}, nil
	}
	if list {
		path += "[]"
	}
	below, err := s.fields(named, path+".")
	return append([]field{{path, kindOf("object", list), doc}}, below...), err
}

// element returns the name of a type, or of the elements of a list.
func (s sources) element(pkg string, e ast.Expr) (name string, list bool) {
	switch t := e.(type) {
	case *ast.StarExpr:
		return s.element(pkg, t.X)
	case *ast.ArrayType:
		name, _ = s.element(pkg, t.Elt)
		return name, true
	case *ast.SelectorExpr:
		return fmt.Sprintf("%s.%s", t.X, t.Sel.Name), false
	case *ast.Ident:
		if _, declared := s[pkg+"."+t.Name]; declared {
			return pkg + "." + t.Name, false
		}
		return t.Name, false
	default:
		return "", false
	}
}

// basic returns the basic type below a named one.
func (s sources) basic(name string) string {
	if below, ok := s[name].(*ast.Ident); ok {
		return below.Name
	}
	return name
}

// kindOf names a type as JSON has it.
func kindOf(basic string, list bool) string {
	kind := "string"
	switch {
	case basic == "bool":
		kind = "boolean"
	case basic == "object":
		kind = "object"
	case strings.HasPrefix(basic, "int"), strings.HasPrefix(basic, "uint"):
		kind = "integer"
	case strings.HasPrefix(basic, "float"):
		kind = "number"
	}
	if list {
		return "list of " + kind + "s"
	}
	return kind
}

// jsonName returns the name of a field in JSON; empty means that it is none.
func jsonName(f *ast.Field) string {
	if f.Tag == nil {
		return ""
	}
	name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json"), ",")
	return name
}

// jsonNamesOf maps the Go names of fields to their names in JSON.
func jsonNamesOf(t *ast.StructType) map[string]string {
	names := map[string]string{}
	for _, f := range t.Fields.List {
		for _, n := range f.Names {
			names[n.Name] = jsonName(f)
		}
	}
	return names
}

// plain returns a doc comment on one line with fields named as in JSON.
func plain(doc string, jsonNames map[string]string) string {
	words := strings.Fields(strings.ReplaceAll(doc, "|", "\\|"))
	if len(words) > 2 && jsonNames[words[0]] != "" && (words[1] == "is" || words[1] == "are") {
		return strings.Join(words[2:], " ")
	}
	for i, word := range words {
		name := jsonNames[word]
		if name != "" && (i == 0 || words[i-1] == "and") {
			words[i] = "`" + name + "`"
		}
	}
	return strings.Join(words, " ")
}
