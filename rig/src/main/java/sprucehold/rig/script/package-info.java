/**
 * The script of a run: sites, sizes, load and faults, as an operator writes them in JSON. The entry
 * point is {@link sprucehold.rig.script.ScriptReader}. Values only; nothing here draws random
 * numbers or starts a process.
 */
package sprucehold.rig.script;
