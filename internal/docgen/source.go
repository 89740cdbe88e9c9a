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

// sources maps type names such as "settings.Gateway" to their declarations.
type sources map[string]ast.Expr

// readSources parses the packages in folders below root. It assumes that each package is named
// like its folder.
func readSources(root string, folders ...string) (sources, error) {
	found := sources{}
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, file := range files {
			if err := found.readFile(file, filepath.Base(folder)); err != nil {
				return nil, err
			}
		}
	}
	return found, nil
}

// readFile adds the types of one file, unless it is a test.
func (s sources) readFile(path, pkg string) error {
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

// fieldEntry describes one field of a settings or configuration file.
type fieldEntry struct {
	path string // such as contracts[].keys[].label
	kind string // such as "list of strings"
	doc  string // one line
}

// fields returns the fields of a struct, each followed by those nested in it, in declaration
// order.
func (s sources) fields(name, prefix string) ([]fieldEntry, error) {
	declared, ok := s[name].(*ast.StructType)
	if !ok {
		return nil, trace.NotFound("no struct %s", name)
	}
	pkg, _, _ := strings.Cut(name, ".")
	jsonNames := jsonNamesOf(declared)
	var found []fieldEntry
	doc := ""
	for _, f := range declared.Fields.List {
		if text := f.Doc.Text(); text != "" {
			doc = text
		}
		nested, err := s.fieldAndNested(pkg, prefix, f, oneLine(doc, jsonNames))
		if err != nil {
			return nil, err
		}
		found = append(found, nested...)
	}
	return found, nil
}

// fieldAndNested returns one field of a struct, followed by the fields nested in it.
func (s sources) fieldAndNested(pkg, prefix string, f *ast.Field, doc string) ([]fieldEntry, error) {
	named, list := s.element(pkg, f.Type)
	if len(f.Names) == 0 {
		return s.fields(named, prefix) // embedded: its fields belong to the outer struct
	}
	name := jsonName(f)
	if name == "" {
		return nil, nil
	}
	path := prefix + name
	_, isStruct := s[named].(*ast.StructType)
	if !isStruct {
		return []fieldEntry{{path, kindOf(s.basic(named), list), doc}}, nil
	}
	if list {
		path += "[]"
	}
	nested, err := s.fields(named, path+".")
	return append([]fieldEntry{{path, kindOf("object", list), doc}}, nested...), err
}

// element returns the name of a type, or for a list the name of its element type.
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

// basic returns the underlying type of a named type, or the name itself if it is none.
func (s sources) basic(name string) string {
	if underlying, ok := s[name].(*ast.Ident); ok {
		return underlying.Name
	}
	return name
}

// kindOf returns the JSON type of a basic Go type, or of a list of it.
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

// jsonName returns the JSON name of a field, or "" if it has none.
func jsonName(f *ast.Field) string {
	if f.Tag == nil {
		return ""
	}
	name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json"), ",")
	return name
}

// jsonNamesOf maps the Go names of a struct's fields to their JSON names.
func jsonNamesOf(t *ast.StructType) map[string]string {
	names := map[string]string{}
	for _, f := range t.Fields.List {
		for _, n := range f.Names {
			names[n.Name] = jsonName(f)
		}
	}
	return names
}

// oneLine returns a doc comment on one line, escaped for a table, with JSON names instead of Go
// names. It removes a leading "Name is" or "Name are".
func oneLine(doc string, jsonNames map[string]string) string {
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
