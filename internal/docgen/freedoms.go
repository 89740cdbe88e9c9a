package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// freedomsPage lists what the world around the system may do, and what answers, plays and tests it.
const freedomsPage = "docs/FREEDOMS.md"

// openCell marks what a row lacks.
const openCell = "open"

// soakDrawn marks a row that the soak of real nodes draws among its faults. A row that the soak of pairs
// draws has the name of the switch there.
const soakDrawn = "drawn"

// soakInPairs marks a row that the soak also plays beside every switch of a pair.
const soakInPairs = "drawn, in each pair"

// freedomColumns are the columns of the table.
var freedomColumns = []string{"who", "what", "answered by", "switch", "test", "soak"}

// freedomOwners are those who have freedoms.
var freedomOwners = []string{"target", "engine", "caller", "operator", "store", "cloud", "clock", "link", "restart", "signal"}

// freedom is one row of the table.
type freedom struct {
	line                             int // in the page, from 1
	who, what                        string
	decision, standIn, test, drawnAs string
}

// openColumns returns the columns that the row marks as open.
func (f *freedom) openColumns() []string {
	var open []string
	for i, cell := range []string{f.decision, f.standIn, f.test, f.drawnAs} {
		if strings.HasPrefix(cell, openCell) {
			open = append(open, freedomColumns[i+2])
		}
	}
	return open
}

// parseFreedoms returns the rows of the table in a page. A row with another number of columns is an error.
func parseFreedoms(page string) ([]freedom, error) {
	var rows []freedom
	for i, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for j := range cells {
			cells[j] = strings.TrimSpace(cells[j])
		}
		if slices.Equal(cells, freedomColumns) {
			continue
		}
		if len(cells) != len(freedomColumns) {
			return nil, fmt.Errorf("line %d has %d columns instead of %d", i+1, len(cells), len(freedomColumns))
		}
		rows = append(rows, freedom{i + 1, cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]})
	}
	return rows, nil
}

// symbolIndex holds the names that the packages of a module declare, by package directory. Fields of
// structs and methods count as names.
type symbolIndex struct {
	code, tests map[string]map[string]bool
	// draws are the names of the switches that the soak of pairs draws.
	draws map[string]bool
	// fields are the fields of switchTypes.
	fields map[string]bool
}

// indexSymbols reads the packages under a directory.
func indexSymbols(root string) (*symbolIndex, error) {
	x := &symbolIndex{make(map[string]map[string]bool), make(map[string]map[string]bool), make(map[string]bool), make(map[string]bool)}
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		names := x.code
		if strings.HasSuffix(path, "_test.go") {
			names = x.tests
		}
		if names[folder] == nil {
			names[folder] = make(map[string]bool)
		}
		addNames(names[folder], file)
		if slices.Contains(standInFolders, filepath.ToSlash(folder)) {
			addDraws(x.draws, file)
			addSwitchFields(x.fields, file)
		}
		return nil
	})
	return x, err
}

// addNames adds the names that a file declares.
func addNames(names map[string]bool, file *ast.File) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[d.Name.Name] = true
		case *ast.GenDecl:
			ast.Inspect(d, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.TypeSpec:
					names[n.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range n.Names {
						names[name.Name] = true
					}
				case *ast.Field:
					for _, name := range n.Names {
						names[name.Name] = true
					}
				}
				return true
			})
		}
	}
}

// addSwitchFields adds the fields of switchTypes in a file.
func addSwitchFields(fields map[string]bool, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		declared, ok := n.(*ast.TypeSpec)
		if !ok || !slices.Contains(switchTypes, declared.Name.Name) {
			return true
		}
		if all, ok := declared.Type.(*ast.StructType); ok {
			for _, field := range all.Fields.List {
				for _, name := range field.Names {
					fields[name.Name] = true
				}
			}
		}
		return true
	})
}

// addDraws adds the texts of the fields Name in literals of a file.
func addDraws(draws map[string]bool, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		field, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		key, isName := field.Key.(*ast.Ident)
		value, isText := field.Value.(*ast.BasicLit)
		if isName && key.Name == "Name" && isText && value.Kind == token.STRING {
			if text, err := strconv.Unquote(value.Value); err == nil {
				draws[text] = true
			}
		}
		return true
	})
}

// folder returns the directory of the package that is called name; the one with the shortest path
// if there are several.
func (x *symbolIndex) folder(name string) (string, bool) {
	best, found := "", false
	for _, names := range []map[string]map[string]bool{x.code, x.tests} {
		for path := range names {
			if filepath.Base(path) == name && (!found || len(path) < len(best)) {
				best, found = path, true
			}
		}
	}
	return best, found
}

// standInFolders are the packages whose names a switch may have.
var standInFolders = []string{"internal/standin/prepared", "internal/nodesoak", "internal/crowd", "internal/standin/faulty"}

// quoted matches a name in a cell.
var quoted = regexp.MustCompile("`([^`]*)`")

// checkName returns what is wrong with a name package.Symbol in a column; empty if nothing is.
func (x *symbolIndex) checkName(column, name string) string {
	packageName, symbol, ok := strings.Cut(name, ".")
	if !ok {
		return fmt.Sprintf("%s: %q is not of the form package.Name", column, name)
	}
	folder, ok := x.folder(packageName)
	if !ok {
		return fmt.Sprintf("%s: there is no package %s", column, packageName)
	}
	isTest := strings.HasPrefix(symbol, "Test") || strings.HasPrefix(symbol, "Fuzz")
	declared := x.code[folder][symbol]
	switch column {
	case "answered by":
		if strings.HasPrefix(folder, "internal/") {
			return fmt.Sprintf("%s: %s is no package of the product", column, packageName)
		}
	case "switch":
		if !slices.Contains(standInFolders, folder) {
			return fmt.Sprintf("%s: %s is no stand-in", column, packageName)
		}
		declared = declared || x.tests[folder][symbol] && !isTest
	case "test":
		declared = isTest && x.tests[folder][symbol]
	}
	if !declared {
		return fmt.Sprintf("%s: package %s declares no %s", column, packageName, symbol)
	}
	return ""
}

// checkFreedom returns what is wrong with a row.
func (x *symbolIndex) checkFreedom(f *freedom) []string {
	var mistakes []string
	if !slices.Contains(freedomOwners, f.who) {
		mistakes = append(mistakes, fmt.Sprintf("who: unknown %q", f.who))
	}
	if f.what == "" {
		mistakes = append(mistakes, "what: empty")
	}
	for i, cell := range []string{f.decision, f.standIn, f.test} {
		column := freedomColumns[i+2]
		if strings.HasPrefix(cell, openCell) {
			continue
		}
		names := quoted.FindAllStringSubmatch(cell, -1)
		if len(names) == 0 {
			mistakes = append(mistakes, fmt.Sprintf("%s: neither a name nor %q", column, openCell))
		}
		for _, name := range names {
			if mistake := x.checkName(column, name[1]); mistake != "" {
				mistakes = append(mistakes, mistake)
			}
		}
	}
	names := quoted.FindAllStringSubmatch(f.drawnAs, -1)
	if len(names) == 0 && !slices.Contains([]string{soakDrawn, soakInPairs, openCell}, f.drawnAs) {
		mistakes = append(mistakes, fmt.Sprintf("soak: neither %q nor %q nor a name", soakDrawn, openCell))
	}
	for _, name := range names {
		if !x.draws[name[1]] {
			mistakes = append(mistakes, fmt.Sprintf("soak: no switch %q is drawn", name[1]))
		}
	}
	return mistakes
}

// checkFreedoms returns the rows of the page and what is wrong with them, each with its line and row.
func checkFreedoms(root string) (rows []freedom, mistakes []string, err error) {
	page, err := os.ReadFile(filepath.Join(root, freedomsPage))
	if err != nil {
		return nil, nil, err
	}
	if rows, err = parseFreedoms(string(page)); err != nil {
		return nil, nil, err
	}
	index, err := indexSymbols(root)
	if err != nil {
		return nil, nil, err
	}
	for i := range rows {
		for _, mistake := range index.checkFreedom(&rows[i]) {
			mistakes = append(mistakes, fmt.Sprintf("%s:%d: %s, %s: %s", freedomsPage, rows[i].line, rows[i].who, rows[i].what, mistake))
		}
	}
	return rows, append(mistakes, index.unnamed(string(page))...), nil
}

// switchTypes are the structs whose fields are switches.
var switchTypes = []string{"TargetSwitches", "StoreSwitches", "DutySwitches"}

// unnamed returns the switches that the page does not name.
func (x *symbolIndex) unnamed(page string) []string {
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(x.draws)) {
		if !strings.Contains(page, "`"+name+"`") {
			missing = append(missing, fmt.Sprintf("%s: no row names the drawn switch %q", freedomsPage, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(x.fields)) {
		if !strings.Contains(page, "`prepared."+name+"`") {
			missing = append(missing, fmt.Sprintf("%s: no row names the switch prepared.%s", freedomsPage, name))
		}
	}
	return missing
}
