// Command fescue is the command line of operators.
package main

func main() {}
