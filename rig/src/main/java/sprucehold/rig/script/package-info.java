/**
 * What a run of the rig is to be: sites, sizes, load and faults, as an operator writes them in
 * JSON. The entry point is {@link sprucehold.rig.script.ScriptReader}. Values only; nothing here
 * draws by chance or touches a process.
 */
package sprucehold.rig.script;
